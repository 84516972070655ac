/**
 * Forwarding of requests to the owner, over links with scripted answers.
 */

import test from 'ava'
import { err, errAsync, okAsync, ResultAsync } from 'neverthrow'
import { ManualClock } from '../common/Clock.js'
import { AmbiguousError, RefusedError, UnreachableError } from '../common/Errors.js'
import { advance } from '../../test/support/advance.js'
import { OwnerRoute } from './OwnerRoute.js'

import type { SubmitOutcome } from '../common/cell/Types.js'
import type { ICellSubmitReply } from '../common/protocol/Types.js'
import type { IPeerHub, PeerError } from '../peer/Types.js'
import type { ChallengeOutcome } from './OwnerChallenge.js'
import type { IOwnerRecord } from './Types.js'

type Reply = ResultAsync<ICellSubmitReply, PeerError>

const SUBMISSION = { jobId: '5c0e7a21d94b36f8', queue: 'lookups', keyDigest: '', record: '', ageMs: 0, configVersion: 1 }
const OWNER: IOwnerRecord = { processId: 'owner', incarnation: 1, peerUrl: 'ws://owner', revision: 7 }
const CALLER_WAITS_MS = 3000

/** @param linkAfterMs when the link is established, in ms */
function setUp (replies: readonly ((clock: ManualClock, timeoutMs: number) => Reply)[], records: readonly IOwnerRecord[] = [OWNER], linkAfterMs = 0, challenge: ChallengeOutcome = 'bothAway') {
  const clock = new ManualClock()
  let calls = 0
  const link = { peer: { processId: 'owner' }, call: (_name: string, _ask: object, timeoutMs: number) => replies[Math.min(calls++, replies.length - 1)]?.(clock, timeoutMs) }
  const dial = (): object => ({ dispose: () => {} })
  const hub = { self: { processId: 'gateway' }, link: () => clock.nowMs() < linkAfterMs ? undefined : link, dial, onLink: () => {}, onLost: () => {} }
  const route = new OwnerRoute(hub as unknown as IPeerHub, {
    get record () { return records[Math.min(calls, records.length - 1)] },
    local: () => undefined,
    challenge: async () => challenge
  }, clock)
  return { route, clock, calls: () => calls }
}

interface ISettled {
  readonly outcome: SubmitOutcome
  readonly afterMs: number
}

async function settled (clock: ManualClock, answer: Promise<SubmitOutcome>): Promise<ISettled | undefined> {
  const beganAtMs = clock.nowMs()
  let result: ISettled | undefined
  answer.then((outcome) => { result = { outcome, afterMs: clock.nowMs() - beganAtMs } }, () => {})
  await advance(clock, CALLER_WAITS_MS * 3, 25)
  return result
}

const notTheOwner = (): Reply => errAsync(new UnreachableError('cellSubmit', 'owner', 'not the owner'))
const noAnswer = (): Reply => errAsync(new AmbiguousError('cellSubmit', 'owner', 'the link broke'))
const silent = (clock: ManualClock, timeoutMs: number): Reply => new ResultAsync(new Promise((resolve) => {
  clock.after(timeoutMs, () => { resolve(err(new AmbiguousError('cellSubmit', 'owner', 'no answer in time'))) })
}))
const overloaded = (): Reply => errAsync(new RefusedError('cellSubmit', 'owner', 'too many calls'))
const accepted = (): Reply => okAsync({ kind: 'accepted' })
const refusal = (): Reply => okAsync({ kind: 'refused', reason: 'the store is away', retryAfterMs: 1000 })
const storeAway = (): Reply => okAsync({ kind: 'refused', reason: 'the store is away', retryAfterMs: 1000, isStoreAway: true })

test('a caller does not wait long for a process that has lost the cell', async (t) => {
  // This gateway has an old record: the process that it names still answers, but no longer owns the cell. Its caller must not wait until
  // its time is over, because other gateways know the new owner.
  const { route, clock } = setUp([notTheOwner])
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.like(result?.outcome, { kind: 'refused', retryAfterMs: 1000 })
  t.true((result?.afterMs ?? Infinity) <= 1300)
})

test('no owner is asked after the caller\'s time is over', async (t) => {
  const { route, clock, calls } = setUp([notTheOwner])
  const result = await settled(clock, route.submit(SUBMISSION, 200))
  t.is(result?.outcome.kind, 'refused')
  t.true((result?.afterMs ?? Infinity) <= 250)
  t.true(calls() <= 10)
})

test('a submission that may be stored waits for an owner for a limited time', async (t) => {
  // The link broke during the submission, and the process has lost the cell meanwhile, so that no process knows the outcome.
  const { route, clock } = setUp([noAnswer, notTheOwner])
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'inDoubt')
  t.true((result?.afterMs ?? Infinity) <= 800)
})

test('an owner that never answers is not asked beyond the caller\'s time', async (t) => {
  const { route, clock } = setUp([noAnswer])
  const result = await settled(clock, route.submit(SUBMISSION, 1000))
  t.is(result?.outcome.kind, 'inDoubt')
  t.true((result?.afterMs ?? Infinity) <= 1050)
})

test('a caller does not wait its full time for an owner that is linked but silent', async (t) => {
  // Repeated calls to the silent owner would use up the time in which another gateway could have answered the caller.
  const { route, clock, calls } = setUp([silent])
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'inDoubt')
  t.true((result?.afterMs ?? Infinity) <= 2050)
  t.true(calls() <= 2)
})

test('a caller does not wait its full time for a silent owner that was linked late', async (t) => {
  // The waits for an owner and for its answer together must not take longer than a stopping process has.
  const { route, clock } = setUp([silent], [OWNER], 900)
  route.follow(OWNER)
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'inDoubt')
  t.true((result?.afterMs ?? Infinity) <= 2050)
})

test('a pending call to an owner that was replaced is abandoned', async (t) => {
  // The owner loses power, and its link falls silent. The next owner has taken over after half a second, and knows what is stored.
  const next = { ...OWNER, processId: 'next', incarnation: 2, peerUrl: 'ws://next', revision: 9 }
  const { route, clock } = setUp([silent, accepted], [OWNER, next])
  route.follow(OWNER)
  clock.after(500, () => { route.follow(next) })
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'accepted')
  t.true((result?.afterMs ?? Infinity) <= 600)
})

test('a submission that may be stored is not refused because the link is too busy for a second attempt', async (t) => {
  // The first attempt may have been stored. If it were reported as refused, the caller would submit the work elsewhere, and it would run
  // twice.
  const { route, clock } = setUp([noAnswer, overloaded])
  t.is((await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS)))?.outcome.kind, 'inDoubt')
})

test('an owner that may still receive the first attempt can\'t refuse the second one with certainty', async (t) => {
  // The first attempt was sent on a connection that broke: the owner may read it after the second one.
  const { route, clock } = setUp([noAnswer, refusal])
  t.is((await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS)))?.outcome.kind, 'inDoubt')
})

test('the next owner knows what the previous one stored, and may refuse', async (t) => {
  // It has read all jobs after the previous owner's writes were fenced off.
  const { route, clock } = setUp([noAnswer, refusal], [OWNER, { ...OWNER, revision: 9 }])
  t.is((await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS)))?.outcome.kind, 'refused')
})

test('a submission that was never sent is refused at once if the link is too busy', async (t) => {
  const { route, clock } = setUp([overloaded])
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'refused')
  t.true((result?.afterMs ?? Infinity) <= 25)
})

test('callers wait for the link to a new owner, which no gateway has yet', async (t) => {
  // The cell has just been taken over, and all gateways dial the new owner while it reads the jobs. If callers were refused at once, each
  // gateway in turn would refuse them, and they would use up their attempts.
  const { route, clock } = setUp([accepted], [OWNER], 700)
  route.follow(OWNER)
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'accepted')
})

test('a gateway that can\'t reach the owner at all refuses callers at once', async (t) => {
  const { route, clock } = setUp([accepted], [OWNER], Infinity)
  route.follow(OWNER)
  await advance(clock, 1100, 25)
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.like(result?.outcome, { kind: 'refused', retryAfterMs: 0 })
  t.true((result?.afterMs ?? Infinity) <= 25)
})

test('an owner that reaches the store again is asked again, instead of refusing its callers', async (t) => {
  // The store was unavailable for all processes and is back; the owner refused the job just before that. Otherwise the caller would retry a
  // second later.
  const { route, clock } = setUp([storeAway, storeAway, accepted], [OWNER], 0, 'ownerIsWell')
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'accepted')
  t.true((result?.afterMs ?? Infinity) <= 200)
})

test('while the store is unavailable for all processes, callers are refused at once', async (t) => {
  const { route, clock } = setUp([storeAway], [OWNER], 0, 'bothAway')
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.like(result?.outcome, { kind: 'refused', retryAfterMs: 1000 })
  t.true((result?.afterMs ?? Infinity) <= 25)
})
