/**
 * Writes of a lane, against a store with scripted answers.
 */

import test from 'ava'
import { ManualClock } from '../common/Clock.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { OWNER_KEY } from './Keys.js'
import { StoreLane } from './StoreLane.js'
import { StoreLatency } from './StoreLatency.js'

import type { CommitOutcome, IMetadataStore, ITransaction } from '../common/cell/Types.js'

const LANE_KEY = 'lane'

/** Carries transactions out and answers them as the script says. */
class ScriptedStore {
  public readonly transactions: ITransaction[] = []
  public readonly values = new Map<string, string>()
  public readonly revisions = new Map<string, number>([[OWNER_KEY, 5]])
  public script: ('ok' | 'lost' | 'never' | 'busy' | 'silent' | 'silent-undone')[] = []
  /** Latency of the store, in ms. An answer that takes longer than the caller's timeout never arrives. */
  public answerMs = 0
  private _revision = 10

  public constructor (private readonly _clock: ManualClock) {}

  public async commit (transaction: ITransaction, timeoutMs: number): Promise<CommitOutcome> {
    this.transactions.push(transaction)
    if (this.answerMs > 0) return await this._answerLate(transaction, timeoutMs)
    const step = this.script.shift() ?? 'ok'
    if (step === 'busy') return { kind: 'refused', reason: 'busy' }
    if (step === 'never') return { kind: 'unanswered', reason: 'silent' }
    if (step === 'silent-undone') return await new Promise(() => {})
    const outcome = this.carryOut(transaction)
    if (step === 'silent') return await new Promise(() => {})
    return step === 'lost' ? { kind: 'unanswered', reason: 'lost' } : outcome
  }

  private async _answerLate (transaction: ITransaction, timeoutMs: number): Promise<CommitOutcome> {
    const outcome = this.carryOut(transaction)
    await new Promise<void>((resolve) => { this._clock.after(Math.min(this.answerMs, timeoutMs), resolve) })
    return this.answerMs > timeoutMs ? { kind: 'unanswered', reason: 'late' } : outcome
  }

  public carryOut (transaction: ITransaction): CommitOutcome {
    if (transaction.expect.some(({ key, revision }) => (this.revisions.get(key) ?? 0) !== revision)) {
      const items = transaction.expect.flatMap(({ key }) => {
        const revision = this.revisions.get(key)
        return revision === undefined ? [] : [{ key, value: this.values.get(key) ?? '', revision }]
      })
      return { kind: 'conflict', items }
    }
    this._revision += 1
    for (const { key, value } of transaction.puts) {
      this.values.set(key, value)
      this.revisions.set(key, this._revision)
    }
    return { kind: 'committed', revision: this._revision }
  }
}

function setUp () {
  const clock = new ManualClock()
  const store = new ScriptedStore(clock)
  const lost: string[] = []
  const options = { laneKey: LANE_KEY, laneRevision: 0, ownerRevision: 5, writerId: 'me' }
  const latency = new StoreLatency(5)
  const writer = new StoreLane(store as unknown as IMetadataStore, options, latency, clock, new SilentLogger(), (reason) => { lost.push(reason) })
  const stored: string[] = []
  const refused: string[] = []
  const unknown: string[] = []
  const refusalOf = (key: string) => ({ onRefused: () => { refused.push(key) }, onUnknown: () => { unknown.push(key) } })
  const write = (key: string, value: string, mayRefuse = false): void => {
    writer.write({
      key, value: () => value, onStored: () => { stored.push(`${key}=${value}`) }, ...(mayRefuse ? { refusal: refusalOf(key) } : {})
    })
  }
  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 5) {
      clock.advance(5)
      await new Promise<void>((resolve) => { setImmediate(resolve) })
    }
  }
  return { store, write, run, stored, refused, unknown, lost, writer }
}

test('writes that are made shortly after each other share a transaction, with the last value of each key', async (t) => {
  const { store, write, run, stored } = setUp()
  write('a', '1')
  write('b', '1')
  write('a', '2')
  await run(30)
  t.is(store.transactions.length, 1)
  t.is(store.values.get('a'), '2')
  t.deepEqual(stored, ['a=1', 'a=2', 'b=1'])
})

test('a write whose answer was lost is recognised as stored, and not carried out again', async (t) => {
  // The store carries a transaction out and its answer is lost. When the transaction is sent again, it must not be mistaken for another
  // writer's, or the owner would give up the cell.
  const { store, write, run, stored, lost } = setUp()
  store.script = ['lost']
  write('a', '1')
  await run(100)
  t.deepEqual(stored, ['a=1'])
  t.deepEqual(lost, [])
  write('a', '2')
  await run(100)
  t.is(store.values.get('a'), '2')
})

test('a lost write that is carried out seconds later has no effect', async (t) => {
  // The first attempt has no answer and is carried out late, after newer writes of the same key. If older progress overwrote newer
  // progress, the next owner would start tasks that are done.
  const { store, write, run } = setUp()
  store.script = ['never']
  write('a', '1')
  await run(100)
  write('a', '2')
  await run(100)
  const [late] = store.transactions
  t.is(late === undefined ? undefined : store.carryOut(late).kind, 'conflict')
  t.is(store.values.get('a'), '2')
})

test('a write that may be refused is refused only when it is certainly not stored', async (t) => {
  const { store, write, run, stored, refused } = setUp()
  store.script = Array.from({ length: 20 }, () => 'busy' as const)
  write('job', 'x', true)
  write('progress', 'y')
  await run(700)
  t.deepEqual(refused, ['job'])
  await run(3000)
  t.deepEqual(stored, ['progress=y'])
})

test('a write in doubt is not refused, however long the store is unavailable', async (t) => {
  // The first attempt may have been carried out. A caller that is told "not accepted" could see its job run.
  const { store, write, run, stored, refused } = setUp()
  store.script = ['never', ...Array.from({ length: 20 }, () => 'busy' as const)]
  write('job', 'x', true)
  await run(900)
  t.deepEqual(refused, [])
  await run(3000)
  t.deepEqual(stored, ['job=x'])
})

test('another owner ends the lane', async (t) => {
  const { store, write, run, stored, lost } = setUp()
  store.revisions.set(OWNER_KEY, 99)
  write('a', '1')
  await run(100)
  t.deepEqual(stored, [])
  t.deepEqual(lost, ['the ownership record has changed'])
})

test('a store that becomes slow is not taken for one that is away', async (t) => {
  // Answers suddenly take 400 ms. If each attempt were given up early, this would look like an outage: jobs would be refused, and other
  // processes would take the cell from a working owner.
  const { store, write, run, stored, writer } = setUp()
  write('a', '0')
  await run(100)
  store.answerMs = 400
  write('a', '1')
  let longestFailingMs = 0
  for (let passed = 0; passed < 2000; passed += 50) {
    await run(50)
    longestFailingMs = Math.max(longestFailingMs, writer.failingForMs)
  }
  t.deepEqual(stored, ['a=0', 'a=1'])
  t.true(longestFailingMs < 900, `${longestFailingMs}`)
})

test('a write that was never sent is refused while the store is silent, instead of waiting behind one in flight', async (t) => {
  // The store falls silent with one transaction in flight. Jobs behind it would wait until their callers' time is over, although they are
  // certainly not stored.
  const { store, write, run, stored, refused } = setUp()
  store.answerMs = 1_000_000
  write('on the way', 'x', true)
  await run(100)
  write('behind', 'x', true)
  write('progress', 'y')
  await run(1000)
  t.deepEqual(refused, ['behind'])
  store.answerMs = 0
  await run(2000)
  t.deepEqual(stored, ['on the way=x', 'progress=y'])
  t.deepEqual(refused, ['behind'])
})

test('a lost answer delays a write by little more than a second call', async (t) => {
  // The store carries the transaction out, its answer is lost, and the connection stays open. Callers of urgent work have half a second. If
  // the owner waited for the full timeout, one lost answer in three would make most of them late.
  const { store, write, run, stored } = setUp()
  store.script = ['silent', 'silent']
  write('a', '1')
  await run(350)
  t.deepEqual(stored, ['a=1'])
  t.true(store.transactions.length <= 3)
})

test('a slow answer is used although the transaction has been sent again meanwhile', async (t) => {
  // The store suddenly becomes slow, and no answer is lost. If the first attempt were given up, each answer would have to be waited for
  // twice.
  const { store, write, run, stored } = setUp()
  store.answerMs = 350
  write('a', '1')
  await run(380)
  t.deepEqual(stored, ['a=1'])
})

test('a store that is back is noticed soon, however long it was silent', async (t) => {
  // The store does not answer for four seconds. All callers of that time retry in the second after it.
  const { store, write, run, stored } = setUp()
  store.answerMs = 1_000_000
  write('a', '1')
  await run(4000)
  store.answerMs = 0
  await run(410)
  t.deepEqual(stored, ['a=1'])
})

test('a silent store is not flooded with attempts', async (t) => {
  const { store, write, run } = setUp()
  store.answerMs = 1_000_000
  write('a', '1')
  await run(4000)
  t.true(store.transactions.length <= 14, `${store.transactions.length}`)
})

test('there is a delay between attempts whose connections break at once', async (t) => {
  const { store, write, run } = setUp()
  store.script = Array.from({ length: 1000 }, () => 'never' as const)
  write('a', '1')
  await run(1000)
  t.true(store.transactions.length <= 20, `${store.transactions.length}`)
})

test('a write that another owner prevented is reported as not stored, even after an attempt in doubt', async (t) => {
  // The first attempt has no answer and was not carried out; then another process takes the cell. The lane's record is unchanged, so no
  // attempt was carried out, and the ownership record never returns to the expected revision. If the outcome were reported as unknown, the
  // caller would get 504.
  const { store, write, run, refused, unknown, lost } = setUp()
  store.script = ['never']
  write('job', 'x', true)
  await run(15)
  store.revisions.set(OWNER_KEY, 99)
  await run(200)
  t.deepEqual([refused, unknown], [['job'], []])
  t.is(lost.length, 1)
})

test('a write that may have been stored before another owner took over is reported as unknown, not refused', async (t) => {
  // The first attempt was carried out, its answer was lost, and the next owner has written the lane since. If the write were refused, the
  // job would run although its caller was told that it would not.
  const { store, write, run, refused, unknown } = setUp()
  store.script = ['lost']
  write('job', 'x', true)
  await run(15)
  store.revisions.set(OWNER_KEY, 99)
  store.revisions.set(LANE_KEY, 100)
  store.values.set(LANE_KEY, 'somebody else')
  await run(200)
  t.deepEqual([refused, unknown], [[], ['job']])
})

test('when ownership ends, unsent writes are refused, and the outcome of the transaction in flight is reported', async (t) => {
  const { store, write, run, stored, refused, unknown, writer } = setUp()
  store.answerMs = 50
  write('on the way', 'x', true)
  await run(20)
  write('behind', 'x', true)
  writer.dispose()
  t.deepEqual(refused, ['behind'])
  await run(100)
  t.deepEqual(stored, ['on the way=x'])
  write('later', 'x', true)
  t.deepEqual(refused, ['behind', 'later'])
  t.deepEqual(unknown, [])
})

test('when ownership ends while the store is silent, the outcome of sent writes is unknown', async (t) => {
  const { store, write, run, refused, unknown, writer } = setUp()
  store.answerMs = 1_000_000
  write('on the way', 'x', true)
  await run(300)
  writer.dispose()
  await run(2000)
  t.deepEqual([refused, unknown], [[], ['on the way']])
})

test('an owner that has refused all its jobs accepts jobs again when the store is back', async (t) => {
  // The store is busy for a while and all pending jobs are refused, so that no write is left to try. Otherwise, later callers would be told
  // for ever that the store is unavailable.
  const { store, write, run, stored, refused, writer } = setUp()
  store.script = Array.from({ length: 20 }, () => 'busy' as const)
  write('job', 'x', true)
  await run(2000)
  t.deepEqual(refused, ['job'])
  t.true(writer.isStoreUnavailable)
  store.script = []
  writer.onStoreAnswered()
  t.false(writer.isStoreUnavailable)
  write('next', 'x', true)
  await run(100)
  t.deepEqual(stored, ['next=x'])
})

test('a lane that still waits for an answer considers the store unavailable, whatever else the store answers', async (t) => {
  const { store, write, run, writer } = setUp()
  store.answerMs = 1_000_000
  write('job', 'x', true)
  await run(2000)
  writer.onStoreAnswered()
  t.true(writer.isStoreUnavailable)
})

test('a write is sent again as soon as a store that was silent answers any call', async (t) => {
  // The next attempt is 400 ms away. Until then callers would be refused although the store works.
  const { store, write, run, stored, writer } = setUp()
  store.script = Array.from({ length: 9 }, () => 'silent-undone')
  write('a', '1')
  await run(2150)
  const tries = store.transactions.length
  t.deepEqual(stored, [])
  store.script = []
  writer.onStoreAnswered()
  await run(10)
  t.is(store.transactions.length, tries + 1)
  t.deepEqual(stored, ['a=1'])
})

test('an answer of the store causes no second attempt of a write that is in flight and not overdue', async (t) => {
  const { store, write, run, writer } = setUp()
  store.answerMs = 30
  write('a', '1')
  await run(20)
  writer.onStoreAnswered()
  await run(100)
  t.is(store.transactions.length, 1)
})

test('answers of the store to other calls cause at most one attempt of a write beyond its limit', async (t) => {
  const { run, store, writer, write } = setUp()
  store.script = Array.from({ length: 20 }, () => 'silent-undone' as const)
  write('a', '1')
  for (let answer = 0; answer < 10; answer += 1) {
    await run(70)
    writer.onStoreAnswered()
  }
  t.true(store.transactions.length <= 6, String(store.transactions.length))
})
