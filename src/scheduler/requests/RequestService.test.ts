/**
 * Requests in a scheduler: each gets exactly one correct answer, whatever happens to its runners and its claim.
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
import { createAdoptedItem } from './AdoptedItem.js'
import { RequestService } from './RequestService.js'

import type { ConfigKind, IConfigEntry } from '../../common/config/Types.js'
import type { ClaimReply, ISubmitRequest } from '../../common/protocol/Types.js'
import type { IFinalAnswer } from '../../common/Types.js'
import type { IHostRecord, IRunnerResponse, IRunnerCall, IRunnerClient, UpstreamError } from '../../runtime/Types.js'
import type { IOwnedShard } from '../hosts/Types.js'
import type { IWorkItem } from '../../common/policy/Types.js'
import type { QueueShifter } from './QueueShifter.js'
import type { IClaimClient } from './Types.js'

const SELF = { processId: 's1', incarnation: 1, region: 'lakes-west', failureDomain: 'lakes-west' }
const SHARD = { shardId: 'runners/r0', epoch: 3 }
const OK: IRunnerResponse = { status: 200, contentType: 'text/plain', body: Buffer.from('found') }

type RunResult = ReturnType<IRunnerClient['run']>

function runnerHost (hostId: string): IHostRecord {
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

function configReplica (): ConfigReplica {
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

/** One scheduler and two runners with one slot each; `answers` are the runners' answers to the calls, in order. */
class Fixture {
  public readonly clock = new ManualClock()
  public readonly calls: IRunnerCall[] = []
  public readonly released: string[] = []
  public readonly fenced: number[] = []
  public claimReply: ClaimReply = { decision: 'granted' }
  /** Time that the store takes for a claim, in milliseconds. */
  public claimMs = 0
  /** The attempts that the runners list as running in their status. */
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
      reportFenced: (_shardId: string, epoch: number) => { this.fenced.push(epoch) },
      confirm: async () => true
    }
    const common = { engine: this.engine, client, clock, timers: clock, log: new SilentLogger() }
    const directory = { hosts: [runnerHost('a'), runnerHost('b')], onChange: new Emitter<readonly IHostRecord[]>().event }
    this._pool = new RunnerPool({ ...common, directory, shards, createAdoptedItem })
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
    this.service = new RequestService({ ...common, self: SELF, runners: this._pool, claims, bounds, config: configReplica(), hasher, random })
  }

  public async start (): Promise<this> {
    this._acquired.fire(SHARD)
    await settle()
    return this
  }

  public async send (service: string, attemptId: string, overrides: Partial<ISubmitRequest> = {}): Promise<IFinalAnswer> {
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
      ...overrides
    })
    await settle()
    this.clock.advance(0)
    await settle()
    return await answer
  }

  public async advanceTime (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      this.clock.advance(50)
      await settle()
    }
  }
}

function ambiguous (): RunResult {
  return errAsync<IRunnerResponse, UpstreamError>(new AmbiguousError('runner.run', 'a', 'cut'))
}

function refused (message: string): RunResult {
  return errAsync<IRunnerResponse, UpstreamError>(new RefusedError('runner.run', 'a', message))
}

test('an answer comes back complete, with the region and the profile revision under which it was decided', async (t) => {
  const fixture = await new Fixture([]).start()
  t.like(await fixture.send('chip-lookup', 'x.1'), { outcome: 'done', status: 200, body: OK.body, region: 'lakes-west', profileRevision: 1 })
  t.like(fixture.calls[0], { fence: SHARD, attemptId: 'x.1', service: 'chip-lookup' })
})

test('a call that was cut off is retried only if it is idempotent, and is never answered as "not run"', async (t) => {
  // The connection to a runner breaks after the request was sent. The request may have run, so a broadcast that is sent
  // again reaches the neighbours twice, and a caller who is told "not run" sends it again by hand.
  const fixture = await new Fixture([ambiguous(), okAsync(OK), ambiguous()]).start()
  t.like(await fixture.send('chip-lookup', 'x.1'), { outcome: 'done' })
  t.is(fixture.calls.length, 2)
  await fixture.advanceTime(3000)
  t.like(await fixture.send('neighbour-broadcast', 'x.2'), { outcome: 'unknown', reason: 'upstreamCut' })
  t.is(fixture.calls.length, 3)
  t.deepEqual(fixture.released, [])
})

test('an idempotent request that was cut off and then found no slot stays unknown', async (t) => {
  // The first dispatch may have run. The second waits for a slot until the deadline; "not run" would be wrong.
  const fixture = await new Fixture([ambiguous(), refused('leaving'), refused('leaving'), refused('leaving'), refused('leaving')]).start()
  fixture.running = ['x.1']
  const answer = fixture.send('chip-lookup', 'x.1')
  await fixture.advanceTime(2000)
  t.like(await answer, { outcome: 'unknown', reason: 'upstreamCut' })
})

test('the slot of a call with an unknown end stays taken until the runner reports it free', async (t) => {
  // A call times out here and still runs at the runner. If its slot counted as free, the runner would get more calls than
  // it can run.
  const fixture = await new Fixture([ambiguous(), ambiguous()]).start()
  fixture.running = ['x.1', 'x.2']
  await fixture.send('neighbour-broadcast', 'x.1')
  await fixture.send('neighbour-broadcast', 'x.2')
  const third = fixture.send('neighbour-broadcast', 'x.3', { remainingMs: 10_000 })
  await fixture.advanceTime(2000)
  t.is(fixture.calls.length, 2)
  fixture.running = []
  await fixture.advanceTime(2000)
  t.like(await third, { outcome: 'done' })
})

test('a request that a runner refuses goes to another runner, and a newer epoch is reported', async (t) => {
  const fenced = errAsync<IRunnerResponse, UpstreamError>(new FencedError('runner.run', 'a', 9))
  const fixture = await new Fixture([refused('noSlot'), okAsync(OK), fenced, okAsync(OK)]).start()
  t.like(await fixture.send('neighbour-broadcast', 'x.1'), { outcome: 'done' })
  t.like(await fixture.send('neighbour-broadcast', 'x.2'), { outcome: 'done' })
  t.deepEqual(fixture.fenced, [9])
  t.is(new Set(fixture.calls.slice(0, 2).map((call) => call.attemptId)).size, 2)
})

test('without a claim nothing runs, and the answer says why', async (t) => {
  // The store is unavailable, or the same id is already claimed by another attempt.
  const fixture = await new Fixture([]).start()
  fixture.claimReply = { decision: 'unavailable', retryAfterMs: 700 }
  t.like(await fixture.send('neighbour-broadcast', 'x.1'), { outcome: 'refused', reason: 'storeUnavailable', retryAfterMs: 700 })
  fixture.claimReply = { decision: 'blocked' }
  t.like(await fixture.send('neighbour-broadcast', 'x.2'), { outcome: 'notRun' })
  fixture.claimReply = { decision: 'duplicate', attemptId: 'y.1', holder: 's2#5' }
  t.like(await fixture.send('neighbour-broadcast', 'x.3'), { outcome: 'done', detail: 's2#5/y.1' })
  t.is(fixture.calls.length, 0)
})

test('a holder returns the answers of its attempts, and unknown for attempts that it does not know', async (t) => {
  const fixture = await new Fixture([]).start()
  await fixture.send('neighbour-broadcast', 'x.1')
  t.like(await fixture.service.outcomeOf('x.1', 10), { outcome: 'done', body: OK.body })
  t.like(await fixture.service.outcomeOf('x.9', 10), { outcome: 'unknown' })
})

test('a stop hands queued requests back as not run, releases their claims, and waits for running requests', async (t) => {
  // An operator replaces a host with a scheduler. Requests that wait here go to other schedulers; requests that a runner
  // has started still get their answers.
  let finish: (answer: IRunnerResponse) => void = () => {}
  const end = new Promise<IRunnerResponse>((resolve) => { finish = resolve })
  const slow = (): RunResult => ResultAsync.fromSafePromise<IRunnerResponse, UpstreamError>(end)
  const fixture = await new Fixture([slow(), slow()]).start()
  const [first, second] = [fixture.send('neighbour-broadcast', 'x.1'), fixture.send('neighbour-broadcast', 'x.2')]
  const waiting = fixture.send('neighbour-broadcast', 'x.3')
  await settle()
  const drained = fixture.service.drain()
  t.like(await waiting, { outcome: 'notRun', reason: 'draining' })
  t.deepEqual(fixture.released, ['x.3'])
  t.like(await fixture.send('chip-lookup', 'x.4'), { outcome: 'refused', reason: 'draining' })
  finish(OK)
  await fixture.advanceTime(100)
  t.like(await first, { outcome: 'done' })
  t.like(await second, { outcome: 'done' })
  await fixture.advanceTime(100)
  await drained
})

test('bodies over the bound are refused immediately', async (t) => {
  // Callers send large bodies faster than runners take them. Without a bound they would fill the memory, and the process
  // would die with all its requests.
  const fixture = await new Fixture([ambiguous()], 100).start()
  t.like(await fixture.send('chip-lookup', 'x.1', { body: Buffer.alloc(101) }), { outcome: 'refused', reason: 'overloaded' })
})

test('a queued request is handed back, at most once, when another scheduler in the region has free slots', async (t) => {
  // A burst arrives before the load summaries show it. The queue is long here while another scheduler is idle.
  const fixture = await new Fixture([ambiguous(), ambiguous()]).start()
  fixture.running = ['x.1', 'x.2']
  await fixture.send('neighbour-broadcast', 'x.1')
  await fixture.send('neighbour-broadcast', 'x.2')
  const shifter = { shouldMove: (_item: IWorkItem, _waitMs: number, hops: number) => hops === 0 } as unknown as QueueShifter
  const moved = fixture.send('neighbour-broadcast', 'x.3', { remainingMs: 10_000 })
  const stays = fixture.send('neighbour-broadcast', 'x.4', { remainingMs: 10_000, hops: 1 })
  await settle()
  fixture.service.shiftQueued(shifter)
  t.like(await moved, { outcome: 'notRun', reason: 'overloaded' })
  fixture.running = []
  await fixture.advanceTime(2000)
  t.like(await stays, { outcome: 'done' })
  t.deepEqual(fixture.released, ['x.3'])
})

test('the time that a claim takes counts as waiting time and towards the deadline', async (t) => {
  // The store is slow. If the time counted only from the end of the claim, a request with a deadline of a second would take
  // longer than that, and the waiting times that operators see would leave the claim out.
  const fixture = await new Fixture([]).start()
  fixture.claimMs = 400
  const served = fixture.send('neighbour-broadcast', 'x.1')
  await fixture.advanceTime(500)
  t.like(await served, { outcome: 'done', waitMs: 400 })
  const late = fixture.send('neighbour-broadcast', 'x.2', { remainingMs: 600 })
  await fixture.advanceTime(500)
  await late
  t.is(fixture.calls[1]?.timeoutMs, 200)
})
