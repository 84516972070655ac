/**
 * A request's way through a scheduler: one truthful answer, whatever its runners and its claim do.
 */

import test from 'ava'
import { errAsync, okAsync, ResultAsync } from 'neverthrow'

import { ManualClock } from '../../common/Clock.js'
import { ConfigReplica } from '../../common/config/ConfigReplica.js'
import { PAWPRINT_EXAMPLE } from '../../common/config/ExampleServices.js'
import { URGENT_PROFILE } from '../../common/config/DefaultProfiles.js'
import { Emitter } from '../../common/Emitter.js'
import { AmbiguousError, FencedError, RefusedError } from '../../common/Errors.js'
import { DecisionEngine } from '../../common/policy/DecisionEngine.js'
import { SeededRandom } from '../../common/Random.js'
import { SilentLogger } from '../../common/observability/SilentLogger.js'
import { IdHasher } from '../../common/requests/AttemptIds.js'
import { settle } from '../../../test/support/advance.js'
import { RunnerPool } from '../hosts/RunnerPool.js'
import { adoptedItem } from './AdoptedItem.js'
import { RequestService } from './RequestService.js'

import type { ConfigKind, IConfigEntry } from '../../common/config/Types.js'
import type { ClaimReply, ISubmitRequest } from '../../common/protocol/Types.js'
import type { IFinalAnswer } from '../../common/Types.js'
import type { IHostRecord, IRunnerAnswer, IRunnerCall, IRunnerClient, UpstreamError } from '../../runtime/Types.js'
import type { IOwnedShard } from '../hosts/Types.js'
import type { IWorkItem } from '../../common/policy/Types.js'
import type { QueueShifter } from './QueueShifter.js'
import type { IClaimClient } from './Types.js'

const SELF = { processId: 's1', incarnation: 1, region: 'lakes-west', failureDomain: 'lakes-west' }
const SHARD = { shardId: 'runners/r0', epoch: 3 }
const OK: IRunnerAnswer = { status: 200, contentType: 'text/plain', body: Buffer.from('found') }

type RunResult = ReturnType<IRunnerClient['run']>

function runner (hostId: string): IHostRecord {
  return {
    hostId,
    kind: 'runner',
    url: 'http://127.0.0.1:1',
    region: 'lakes-west',
    failureDomain: 'lakes-west',
    rack: 'r0',
    state: 'live',
    slots: 1,
    maxConnections: 60,
    capacity: { cores: 0, memoryBytes: 0, accelerators: 0 }
  }
}

function replica (): ConfigReplica {
  const config = new ConfigReplica()
  const entry = (kind: ConfigKind, value: NonNullable<IConfigEntry['value']>): IConfigEntry =>
    ({ kind, name: value.name, revision: 1, deleted: false, value, writer: 'w', nonce: 'n', changedAt: 0 })
  const { profiles, services, teams } = PAWPRINT_EXAMPLE
  config.apply([
    ...[URGENT_PROFILE, ...profiles].map((each) => entry('profile', each)),
    ...services.map((each) => entry('service', each)),
    ...teams.map((each) => entry('team', each))
  ])
  return config
}

/** One scheduler with two runners of a slot each; `answers` are what the runners say, one call after the other. */
class Fixture {
  public readonly clock = new ManualClock()
  public readonly calls: IRunnerCall[] = []
  public readonly released: string[] = []
  public readonly fenced: number[] = []
  public claimReply: ClaimReply = { decision: 'granted' }
  /** How long the store takes for a claim. */
  public claimMs = 0
  /** What the runners say is running, by their own status. */
  public running: readonly string[] = []
  public leaving = false
  public readonly service: RequestService
  public readonly engine: DecisionEngine
  private readonly _acquired = new Emitter<IOwnedShard>()
  private readonly _pool: RunnerPool

  public constructor (private readonly _answers: RunResult[], maxInFlightBytes = 1000) {
    const { clock } = this
    this.engine = new DecisionEngine(clock, new SeededRandom(1), { kind: 'slots' })
    const client: IRunnerClient = {
      run: (_host, call) => {
        this.calls.push(call)
        return this._answers.shift() ?? okAsync(OK)
      },
      fence: () => okAsync({ slots: 1, slotsInUse: this.running.length, leaving: this.leaving, attemptIds: this.running }),
      forget: () => {}
    }
    const shards = {
      onAcquired: this._acquired.event,
      onLost: new Emitter<IOwnedShard>().event,
      noteFenced: (_shardId: string, epoch: number) => { this.fenced.push(epoch) },
      confirm: async () => true
    }
    const common = { engine: this.engine, client, clock, timers: clock, log: new SilentLogger() }
    const directory = { hosts: [runner('a'), runner('b')], onChange: new Emitter<readonly IHostRecord[]>().event }
    this._pool = new RunnerPool({ ...common, directory, shards, adoptedItem })
    const claims: IClaimClient = {
      claim: async () => {
        await new Promise<void>((resolve) => { clock.after(this.claimMs, resolve) })
        return this.claimReply
      },
      release: async ({ attemptId }) => { this.released.push(attemptId) },
      releaseLater: () => {},
      outcomeOf: async (holder, attemptId) => ({ outcome: 'done', status: 200, detail: `${holder}/${attemptId}` })
    }
    const hasher = new IdHasher((text) => text, (text) => text.length, 8)
    const bounds = { maxInFlight: 10, maxInFlightBytes }
    const random = new SeededRandom(1)
    this.service = new RequestService({ ...common, self: SELF, runners: this._pool, claims, bounds, config: replica(), hasher, random })
  }

  public async start (): Promise<this> {
    this._acquired.fire(SHARD)
    await settle()
    return this
  }

  public async send (service: string, attemptId: string, more: Partial<ISubmitRequest> = {}): Promise<IFinalAnswer> {
    const answer = this.service.submit({
      attemptId,
      service,
      caller: 'clinic',
      requestId: attemptId,
      idempotent: service === 'chip-lookup',
      remainingMs: 1000,
      contentType: 'text/plain',
      body: Buffer.from('chip 7'),
      ageMs: 0,
      hops: 0,
      ...more
    })
    await settle()
    this.clock.advance(0)
    await settle()
    return await answer
  }

  public async pass (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      this.clock.advance(50)
      await settle()
    }
  }
}

function ambiguous (): RunResult {
  return errAsync<IRunnerAnswer, UpstreamError>(new AmbiguousError('runner.run', 'a', 'cut'))
}

function refused (message: string): RunResult {
  return errAsync<IRunnerAnswer, UpstreamError>(new RefusedError('runner.run', 'a', message))
}

test('an answer comes back whole, with where and under which revision it was decided', async (t) => {
  const cell = await new Fixture([]).start()
  t.like(await cell.send('chip-lookup', 'x.1'), { outcome: 'done', status: 200, body: OK.body, region: 'lakes-west', profileRevision: 1 })
  t.like(cell.calls[0], { fence: SHARD, attemptId: 'x.1', service: 'chip-lookup' })
})

test('a cut call is tried again only when it is idempotent, and is never called "not run"', async (t) => {
  // A runner's connection breaks after the request went out. It may have run there, so a broadcast that is sent again
  // reaches the neighbours twice; and a caller who is told "not run" sends it again by hand.
  const cell = await new Fixture([ambiguous(), okAsync(OK), ambiguous()]).start()
  t.like(await cell.send('chip-lookup', 'x.1'), { outcome: 'done' })
  t.is(cell.calls.length, 2)
  await cell.pass(3000)
  t.like(await cell.send('neighbour-broadcast', 'x.2'), { outcome: 'unknown', reason: 'upstreamCut' })
  t.is(cell.calls.length, 3)
  t.deepEqual(cell.released, [])
})

test('an idempotent request that was cut and then found no place stays unknown', async (t) => {
  // The first dispatch may have run. The second waits for a slot until the deadline; "not run" would be untrue.
  const cell = await new Fixture([ambiguous(), refused('leaving'), refused('leaving'), refused('leaving'), refused('leaving')]).start()
  cell.running = ['x.1']
  const answer = cell.send('chip-lookup', 'x.1')
  await cell.pass(2000)
  t.like(await answer, { outcome: 'unknown', reason: 'upstreamCut' })
})

test('the slot of a call without an end stays taken until the runner itself says that it is free', async (t) => {
  // A call times out here and goes on at the runner. Its slot counted as free, the runner would get more than it can run.
  const cell = await new Fixture([ambiguous(), ambiguous()]).start()
  cell.running = ['x.1', 'x.2']
  await cell.send('neighbour-broadcast', 'x.1')
  await cell.send('neighbour-broadcast', 'x.2')
  const third = cell.send('neighbour-broadcast', 'x.3', { remainingMs: 10_000 })
  await cell.pass(2000)
  t.is(cell.calls.length, 2)
  cell.running = []
  await cell.pass(2000)
  t.like(await third, { outcome: 'done' })
})

test('a refusal before it ran goes to another runner, and a newer epoch is reported', async (t) => {
  const fenced = errAsync<IRunnerAnswer, UpstreamError>(new FencedError('runner.run', 'a', 9))
  const cell = await new Fixture([refused('noSlot'), okAsync(OK), fenced, okAsync(OK)]).start()
  t.like(await cell.send('neighbour-broadcast', 'x.1'), { outcome: 'done' })
  t.like(await cell.send('neighbour-broadcast', 'x.2'), { outcome: 'done' })
  t.deepEqual(cell.fenced, [9])
  t.is(new Set(cell.calls.slice(0, 2).map((call) => call.attemptId)).size, 2)
})

test('without a claim nothing runs, and the answer says why', async (t) => {
  // The store is down, or the same id is already claimed by another attempt.
  const cell = await new Fixture([]).start()
  cell.claimReply = { decision: 'unavailable', retryAfterMs: 700 }
  t.like(await cell.send('neighbour-broadcast', 'x.1'), { outcome: 'refused', reason: 'storeUnavailable', retryAfterMs: 700 })
  cell.claimReply = { decision: 'blocked' }
  t.like(await cell.send('neighbour-broadcast', 'x.2'), { outcome: 'notRun' })
  cell.claimReply = { decision: 'duplicate', attemptId: 'y.1', holder: 's2#5' }
  t.like(await cell.send('neighbour-broadcast', 'x.3'), { outcome: 'done', detail: 's2#5/y.1' })
  t.is(cell.calls.length, 0)
})

test('a holder answers for its attempts, and says unknown for those it does not know', async (t) => {
  const cell = await new Fixture([]).start()
  await cell.send('neighbour-broadcast', 'x.1')
  t.like(await cell.service.outcomeOf('x.1', 10), { outcome: 'done', body: OK.body })
  t.like(await cell.service.outcomeOf('x.9', 10), { outcome: 'unknown' })
})

test('a stop hands queued requests back as not run, releases their claims, and waits for what runs', async (t) => {
  // An operator replaces an entry host. What waits here goes to other schedulers; what a runner has begun gets its answer.
  let finish: (answer: IRunnerAnswer) => void = () => {}
  const end = new Promise<IRunnerAnswer>((resolve) => { finish = resolve })
  const slow = (): RunResult => ResultAsync.fromSafePromise<IRunnerAnswer, UpstreamError>(end)
  const cell = await new Fixture([slow(), slow()]).start()
  const [first, second] = [cell.send('neighbour-broadcast', 'x.1'), cell.send('neighbour-broadcast', 'x.2')]
  const waiting = cell.send('neighbour-broadcast', 'x.3')
  await settle()
  const drained = cell.service.drain()
  t.like(await waiting, { outcome: 'notRun', reason: 'draining' })
  t.deepEqual(cell.released, ['x.3'])
  t.like(await cell.send('chip-lookup', 'x.4'), { outcome: 'refused', reason: 'draining' })
  finish(OK)
  await cell.pass(100)
  t.like(await first, { outcome: 'done' })
  t.like(await second, { outcome: 'done' })
  await cell.pass(100)
  await drained
})

test('bodies over the bound are refused at once', async (t) => {
  // Callers send large bodies faster than runners take them. Held without a bound they fill the memory, and the process
  // dies with every request in it.
  const cell = await new Fixture([ambiguous()], 100).start()
  t.like(await cell.send('chip-lookup', 'x.1', { body: Buffer.alloc(101) }), { outcome: 'refused', reason: 'overloaded' })
})

test('a queued request is handed back, once, when another scheduler of the region has room', async (t) => {
  // A burst came before the others' summaries told of it. The queue is long here while a scheduler beside it idles.
  const cell = await new Fixture([ambiguous(), ambiguous()]).start()
  cell.running = ['x.1', 'x.2']
  await cell.send('neighbour-broadcast', 'x.1')
  await cell.send('neighbour-broadcast', 'x.2')
  const shifter = { shouldMove: (_item: IWorkItem, _waitMs: number, hops: number) => hops === 0 } as unknown as QueueShifter
  const moved = cell.send('neighbour-broadcast', 'x.3', { remainingMs: 10_000 })
  const stays = cell.send('neighbour-broadcast', 'x.4', { remainingMs: 10_000, hops: 1 })
  await settle()
  cell.service.shift(shifter)
  t.like(await moved, { outcome: 'notRun', reason: 'overloaded' })
  cell.running = []
  await cell.pass(2000)
  t.like(await stays, { outcome: 'done' })
  t.deepEqual(cell.released, ['x.3'])
})

test('the time that a claim takes counts as waiting, and towards the deadline', async (t) => {
  // The store is slow. Counted from after the claim, a caller who gave a second would wait for longer, and the waits that
  // operators see would leave out the slow part.
  const cell = await new Fixture([]).start()
  cell.claimMs = 400
  const served = cell.send('neighbour-broadcast', 'x.1')
  await cell.pass(500)
  t.like(await served, { outcome: 'done', waitMs: 400 })
  const late = cell.send('neighbour-broadcast', 'x.2', { remainingMs: 600 })
  await cell.pass(500)
  await late
  t.is(cell.calls[1]?.timeoutMs, 200)
})
