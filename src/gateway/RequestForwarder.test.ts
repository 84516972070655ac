/**
 * How a gateway forwards a request: another scheduler is tried only when that is safe.
 */

import test from 'ava'
import { errAsync, okAsync } from 'neverthrow'

import { ManualClock } from '../common/Clock.js'
import { ConfigReplica } from '../common/config/ConfigReplica.js'
import { URGENT_PROFILE } from '../common/config/DefaultProfiles.js'
import { AmbiguousError, UnreachableError } from '../common/Errors.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { SeededRandom } from '../common/Random.js'
import { AttemptIds, IdHasher } from '../common/requests/AttemptIds.js'
import { settle } from '../../test/support/advance.js'
import { RequestForwarder } from './RequestForwarder.js'

import type { BlockReply } from '../common/protocol/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { IPeerHub, IPeerLink, PeerError } from '../peer/Types.js'
import type { IRoutedRequest } from './Types.js'

const SELF = { processId: 'g1', incarnation: 1, region: 'lakes-west', failureDomain: 'lakes-west' }
const DONE: IFinalAnswer = { outcome: 'done', status: 200 }
const LINK_LOST = new AmbiguousError('peer.submit', 's1', 'link lost')

/** Two schedulers; `_answers` are their replies to `submit` in order, `_blocks` those of the claim's owner to `block`. */
class Fixture {
  public readonly clock = new ManualClock()
  public readonly calls: string[] = []
  private readonly _forwarder: RequestForwarder

  public constructor (private readonly _answers: Array<IFinalAnswer | PeerError>, private readonly _blocks: Array<BlockReply | PeerError> = []) {
    const { clock } = this
    const hub = { link: (processId: string) => this._link(processId) } as unknown as IPeerHub
    const router = {
      choose: ({ excluded }: { excluded: ReadonlySet<string> }) => ['s1', 's2'].find((id) => !excluded.has(id)),
      ownerOf: () => 's2',
      recordSent: () => {},
      updateSummary: () => {},
      removeScheduler: () => {},
      summaries: () => []
    }
    const hasher = new IdHasher((text) => text, (text) => text.length, 8)
    const common = { config: new ConfigReplica(), attemptIds: new AttemptIds(SELF), random: new SeededRandom(1), log: new SilentLogger() }
    this._forwarder = new RequestForwarder({ ...common, hub, router, hasher, clock, timers: clock })
  }

  public async run (idempotent: boolean, disconnected?: AbortSignal): Promise<IFinalAnswer> {
    const request: IRoutedRequest = {
      service: 'pivot-start',
      caller: 'crew',
      requestId: 'r',
      idempotent,
      contentType: 'text/plain',
      body: Buffer.from('north'),
      profile: URGENT_PROFILE,
      profileRevision: 4,
      arrivedAtMs: 0,
      deadlineAtMs: 1000
    }
    const answer = this._forwarder.run(request, disconnected)
    for (let round = 0; round < 200; round++) {
      await settle()
      this.clock.advance(50)
    }
    return await answer
  }

  private _link (processId: string): IPeerLink | undefined {
    if (!['s1', 's2'].includes(processId)) return undefined
    return {
      peer: { ...SELF, processId, incarnation: 5 },
      call: (name: string) => {
        this.calls.push(`${name} ${processId}`)
        const reply = name === 'submit' ? this._answers.shift() : name === 'block' ? this._blocks.shift() : DONE
        return reply instanceof Error || reply === undefined ? errAsync(reply ?? new UnreachableError('peer', processId, 'gone')) : okAsync(reply)
      }
    } as unknown as IPeerLink
  }
}

test('after a refusal that may not apply to other schedulers, the next one is tried', async (t) => {
  const fixture = new Fixture([{ outcome: 'refused', reason: 'draining', retryAfterMs: 1 }, DONE])
  t.like(await fixture.run(false), { outcome: 'done' })
  t.deepEqual(fixture.calls, ['submit s1', 'submit s2'])
  const infeasible = new Fixture([{ outcome: 'refused', reason: 'infeasible' }, DONE])
  t.like(await infeasible.run(true), { outcome: 'refused', reason: 'infeasible' })
})

test('an idempotent request whose link broke is tried again, and never answered with a false "not run"', async (t) => {
  // The first scheduler got the request and stopped answering, so the request may have run there. The second scheduler
  // is full, and the final answer must still allow for the first attempt.
  t.like(await new Fixture([LINK_LOST, DONE]).run(true), { outcome: 'done' })
  t.like(await new Fixture([LINK_LOST, { outcome: 'refused', reason: 'overloaded', retryAfterMs: 1 }]).run(true), { outcome: 'unknown' })
})

test('a non-idempotent request whose link broke is sent again only once its first attempt is blocked', async (t) => {
  // The scheduler may be about to start the pivot. If the request went to another one at once, the pivot would start twice.
  const blocked = new Fixture([LINK_LOST, DONE], [LINK_LOST, { decision: 'notOwner' }, { decision: 'blocked' }])
  t.like(await blocked.run(false), { outcome: 'done' })
  t.deepEqual(blocked.calls, ['submit s1', 'block s2', 'block s2', 'block s2', 'submit s2'])
})

test('the holder of a claim is asked for the outcome, which stays unknown if the owner of the claim can\'t be reached', async (t) => {
  const claimed = new Fixture([LINK_LOST], [{ decision: 'claimed', holder: 's2#5' }])
  t.like(await claimed.run(false), { outcome: 'done' })
  t.deepEqual(claimed.calls, ['submit s1', 'block s2', 'outcomeOf s2'])
  t.like(await new Fixture([LINK_LOST], []).run(false), { outcome: 'unknown', reason: 'linkLost' })
})

test('when its caller disconnects, a queued request is cancelled and sent to no other scheduler', async (t) => {
  // Many callers give up at once. If their requests stayed in the queues, connected callers would wait behind them.
  const disconnected = new AbortController()
  const fixture = new Fixture([{ outcome: 'notRun', reason: 'overloaded', retryAfterMs: 0 }, DONE])
  const answer = fixture.run(true, disconnected.signal)
  disconnected.abort()
  t.like(await answer, { outcome: 'notRun' })
  t.deepEqual(fixture.calls, ['submit s1', 'cancel s1'])
})
