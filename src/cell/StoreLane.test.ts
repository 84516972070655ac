/**
 * A lane of writes against a store whose answers are scripted.
 */

import test from 'ava'
import { ManualClock } from '../common/Clock.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { OWNER_KEY } from './Keys.js'
import { StoreLane } from './StoreLane.js'
import { StoreLatency } from './StoreLatency.js'

import type { CommitOutcome, IMetadataStore, ITransaction } from '../common/cell/Types.js'

const LANE = 'lane'

/** Carries transactions out, or not, and answers, or not, as the script says. */
class ScriptedStore {
  public readonly transactions: ITransaction[] = []
  public readonly values = new Map<string, string>()
  public readonly revisions = new Map<string, number>([[OWNER_KEY, 5]])
  public script: ('ok' | 'lost' | 'never' | 'busy' | 'silent' | 'silent-undone')[] = []
  /** Answers take so long; one that takes longer than it is waited for doesn't come. */
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

function lane () {
  const clock = new ManualClock()
  const store = new ScriptedStore(clock)
  const lost: string[] = []
  const options = { laneKey: LANE, laneRevision: 0, ownerRevision: 5, writerId: 'me' }
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

test('writes of a moment go out together, and the last value of a key counts', async (t) => {
  const { store, write, run, stored } = lane()
  write('a', '1')
  write('b', '1')
  write('a', '2')
  await run(30)
  t.is(store.transactions.length, 1)
  t.is(store.values.get('a'), '2')
  t.deepEqual(stored, ['a=1', 'a=2', 'b=1'])
})

test('a write whose answer was lost is found done, not done again', async (t) => {
  // The store carries a transaction out and its answer is lost. Sent again, it must not be taken for another writer's, or
  // the owner would give up the cell.
  const { store, write, run, stored, lost } = lane()
  store.script = ['lost']
  write('a', '1')
  await run(100)
  t.deepEqual(stored, ['a=1'])
  t.deepEqual(lost, [])
  write('a', '2')
  await run(100)
  t.is(store.values.get('a'), '2')
})

test('a lost write that is carried out seconds later changes nothing any more', async (t) => {
  // The first try has no answer and is carried out late, after newer writes of the same key. Old progress over newer would make
  // the next owner start tasks that are done.
  const { store, write, run } = lane()
  store.script = ['never']
  write('a', '1')
  await run(100)
  write('a', '2')
  await run(100)
  const [late] = store.transactions
  t.is(late === undefined ? undefined : store.carryOut(late).kind, 'conflict')
  t.is(store.values.get('a'), '2')
})

test('what may be refused is refused only when it is certain that it was not stored', async (t) => {
  const { store, write, run, stored, refused } = lane()
  store.script = Array.from({ length: 20 }, () => 'busy' as const)
  write('job', 'x', true)
  write('progress', 'y')
  await run(700)
  t.deepEqual(refused, ['job'])
  await run(3000)
  t.deepEqual(stored, ['progress=y'])
})

test('what is in doubt is not refused, however long the store is away', async (t) => {
  // The first try may have been carried out. A caller told "not accepted" could see its job run.
  const { store, write, run, stored, refused } = lane()
  store.script = ['never', ...Array.from({ length: 20 }, () => 'busy' as const)]
  write('job', 'x', true)
  await run(900)
  t.deepEqual(refused, [])
  await run(3000)
  t.deepEqual(stored, ['job=x'])
})

test('another owner ends the lane', async (t) => {
  const { store, write, run, stored, lost } = lane()
  store.revisions.set(OWNER_KEY, 99)
  write('a', '1')
  await run(100)
  t.deepEqual(stored, [])
  t.deepEqual(lost, ['the ownership record has changed'])
})

test('a store that becomes slow is not taken for one that is away', async (t) => {
  // Answers take 400 ms from one moment to the next. Given up over and over, they would look like an outage: jobs would be refused
  // and other processes would take the cell from an owner that is well.
  const { store, write, run, stored, writer } = lane()
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

test('what never went out is refused while the store is silent, instead of waiting behind what did', async (t) => {
  // The store falls silent with one transaction on the way. Jobs that come behind it would wait for an answer until their
  // callers' time is over, although it is certain that nobody has stored them.
  const { store, write, run, stored, refused } = lane()
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

test('a lost answer costs little more than a second call', async (t) => {
  // The store does what it is asked, and its answer never comes; the connection stays open. Callers of urgent work have half a second:
  // waited for to the end, one lost answer in three would make most of them late.
  const { store, write, run, stored } = lane()
  store.script = ['silent', 'silent']
  write('a', '1')
  await run(350)
  t.deepEqual(stored, ['a=1'])
  t.true(store.transactions.length <= 3)
})

test('a slow answer is taken although the transaction has gone out again meanwhile', async (t) => {
  // The store has become slow from one moment to the next, and nothing is lost. Given up, each answer would have to be waited for twice.
  const { store, write, run, stored } = lane()
  store.answerMs = 350
  write('a', '1')
  await run(380)
  t.deepEqual(stored, ['a=1'])
})

test('a store that is back is found soon, however long it was silent', async (t) => {
  // Nothing is answered for four seconds. All callers of that time come back in the second after it.
  const { store, write, run, stored } = lane()
  store.answerMs = 1_000_000
  write('a', '1')
  await run(4000)
  store.answerMs = 0
  await run(410)
  t.deepEqual(stored, ['a=1'])
})

test('a store that is silent is not flooded', async (t) => {
  const { store, write, run } = lane()
  store.answerMs = 1_000_000
  write('a', '1')
  await run(4000)
  t.true(store.transactions.length <= 14, `${store.transactions.length}`)
})

test('connections that break at once are not tried without a pause', async (t) => {
  const { store, write, run } = lane()
  store.script = Array.from({ length: 1000 }, () => 'never' as const)
  write('a', '1')
  await run(1000)
  t.true(store.transactions.length <= 20, `${store.transactions.length}`)
})

test('what another owner prevented is not stored, also after a try in doubt', async (t) => {
  // The first try had no answer and was not done; then another process took the cell. The lane is as it was, so it is certain that no
  // try was done, and the ownership record never is again what they expect. Called unknown, the caller would get 504.
  const { store, write, run, refused, unknown, lost } = lane()
  store.script = ['never']
  write('job', 'x', true)
  await run(15)
  store.revisions.set(OWNER_KEY, 99)
  await run(200)
  t.deepEqual([refused, unknown], [['job'], []])
  t.is(lost.length, 1)
})

test('what may have been stored before another owner came is unknown, not refused', async (t) => {
  // The first try was done, its answer was lost, and the next owner has written the lane since. Called refused, the job would run
  // although its caller was told that it doesn't.
  const { store, write, run, refused, unknown } = lane()
  store.script = ['lost']
  write('job', 'x', true)
  await run(15)
  store.revisions.set(OWNER_KEY, 99)
  store.revisions.set(LANE, 100)
  store.values.set(LANE, 'somebody else')
  await run(200)
  t.deepEqual([refused, unknown], [[], ['job']])
})

test('when ownership ends, what never went out is refused, and what is on the way is told as it comes', async (t) => {
  const { store, write, run, stored, refused, unknown, writer } = lane()
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

test('when ownership ends while the store is silent, what went out is unknown', async (t) => {
  const { store, write, run, refused, unknown, writer } = lane()
  store.answerMs = 1_000_000
  write('on the way', 'x', true)
  await run(300)
  writer.dispose()
  await run(2000)
  t.deepEqual([refused, unknown], [[], ['on the way']])
})

test('an owner that has refused all it had takes jobs again when the store is back', async (t) => {
  // The store is busy for a while and all jobs on the way are refused, so that nothing is left to try. Callers that come after the outage
  // would be told for ever that the store is away.
  const { store, write, run, stored, refused, writer } = lane()
  store.script = Array.from({ length: 20 }, () => 'busy' as const)
  write('job', 'x', true)
  await run(2000)
  t.deepEqual(refused, ['job'])
  t.true(writer.isOut)
  store.script = []
  writer.noteReached()
  t.false(writer.isOut)
  write('next', 'x', true)
  await run(100)
  t.deepEqual(stored, ['next=x'])
})

test('a lane that still waits for an answer counts the store as away, whatever else the store answers', async (t) => {
  const { store, write, run, writer } = lane()
  store.answerMs = 1_000_000
  write('job', 'x', true)
  await run(2000)
  writer.noteReached()
  t.true(writer.isOut)
})

test('a store that has been silent is written to again as soon as it answers anything', async (t) => {
  // The next try of a write was 400 ms away, in which callers were refused beside a store that was well.
  const { store, write, run, stored, writer } = lane()
  store.script = Array.from({ length: 9 }, () => 'silent-undone')
  write('a', '1')
  await run(2150)
  const tries = store.transactions.length
  t.deepEqual(stored, [])
  store.script = []
  writer.noteReached()
  await run(10)
  t.is(store.transactions.length, tries + 1)
  t.deepEqual(stored, ['a=1'])
})

test('an answer of the store makes no second try of a write that is on its way as usual', async (t) => {
  const { store, write, run, writer } = lane()
  store.answerMs = 30
  write('a', '1')
  await run(20)
  writer.noteReached()
  await run(100)
  t.is(store.transactions.length, 1)
})
