/**
 * The way to the owner, over links whose answers are scripted.
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

const SUBMISSION = { jobId: '5c0e7a21d94b36f8', queue: 'lookups', record: '', ageMs: 0, configVersion: 1 }
const OWNER: IOwnerRecord = { processId: 'owner', incarnation: 1, peerUrl: 'ws://owner', revision: 7 }
const CALLER_WAITS_MS = 3000

/** @param linkAfterMs the link is there from then on */
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

test('a caller isn\'t held back by a process that has lost the cell', async (t) => {
  // The record that this gateway has is old: the process it names still answers, and owns nothing any more. Its caller would
  // wait until it gives up, beside gateways that know the new owner.
  const { route, clock } = setUp([notTheOwner])
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.like(result?.outcome, { kind: 'refused', retryAfterMs: 1000 })
  t.true((result?.afterMs ?? Infinity) <= 1300)
})

test('no owner is asked after the caller\'s time', async (t) => {
  const { route, clock, calls } = setUp([notTheOwner])
  const result = await settled(clock, route.submit(SUBMISSION, 200))
  t.is(result?.outcome.kind, 'refused')
  t.true((result?.afterMs ?? Infinity) <= 250)
  t.true(calls() <= 10)
})

test('a submission that may be stored waits for an owner for a while, not without end', async (t) => {
  // The link broke with the submission on it, and the process has lost the cell meanwhile: nobody can say what became of it.
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

test('a caller is not held for its whole time by an owner that is linked and silent', async (t) => {
  // Asked again and again, the owner used up the time in which another gateway could have told the caller.
  const { route, clock, calls } = setUp([silent])
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'inDoubt')
  t.true((result?.afterMs ?? Infinity) <= 2050)
  t.true(calls() <= 2)
})

test('nor by one that was found late', async (t) => {
  // The waits for an owner and for its answer, each allowed for itself, took longer than a process that stops has.
  const { route, clock } = setUp([silent], [OWNER], 900)
  route.follow(OWNER)
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'inDoubt')
  t.true((result?.afterMs ?? Infinity) <= 2050)
})

test('a call to an owner that was replaced is not waited for', async (t) => {
  // The owner has lost power, and its link falls silent. The next one has taken over after half a second, and knows what is stored.
  const next = { ...OWNER, processId: 'next', incarnation: 2, peerUrl: 'ws://next', revision: 9 }
  const { route, clock } = setUp([silent, accepted], [OWNER, next])
  route.follow(OWNER)
  clock.after(500, () => { route.follow(next) })
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'accepted')
  t.true((result?.afterMs ?? Infinity) <= 600)
})

test('what may be stored is not called refused because the link is too busy for a second try', async (t) => {
  // The first try may have been stored. "Not taken" would be untrue: its caller would hand the work to somebody else,
  // and it would run twice.
  const { route, clock } = setUp([noAnswer, overloaded])
  t.is((await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS)))?.outcome.kind, 'inDoubt')
})

test('the owner that may still get the first try can\'t refuse the second one for certain', async (t) => {
  // The first try was on a connection that broke: the owner may read it after the second.
  const { route, clock } = setUp([noAnswer, refusal])
  t.is((await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS)))?.outcome.kind, 'inDoubt')
})

test('the next owner knows what the last one stored, and may refuse', async (t) => {
  // It has read all jobs after the last one's writes were barred.
  const { route, clock } = setUp([noAnswer, refusal], [OWNER, { ...OWNER, revision: 9 }])
  t.is((await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS)))?.outcome.kind, 'refused')
})

test('a link that is too busy refuses at once what was never sent', async (t) => {
  const { route, clock } = setUp([overloaded])
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'refused')
  t.true((result?.afterMs ?? Infinity) <= 25)
})

test('callers wait for the link to a new owner, which nobody has yet', async (t) => {
  // The cell has just been taken over, and all gateways dial the new owner while it reads the jobs. Sent on at once, a caller
  // would be sent on by each of them in turn, and use up its tries.
  const { route, clock } = setUp([accepted], [OWNER], 700)
  route.follow(OWNER)
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'accepted')
})

test('callers are sent on at once by a gateway that can\'t reach the owner at all', async (t) => {
  const { route, clock } = setUp([accepted], [OWNER], Infinity)
  route.follow(OWNER)
  await advance(clock, 1100, 25)
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.like(result?.outcome, { kind: 'refused', retryAfterMs: 0 })
  t.true((result?.afterMs ?? Infinity) <= 25)
})

test('an owner that is back at the store is asked again, instead of sending its callers away', async (t) => {
  // The store was away for all, and is back; the owner refused a moment before that. Its caller would come back a second later.
  const { route, clock } = setUp([storeAway, storeAway, accepted], [OWNER], 0, 'ownerIsWell')
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.is(result?.outcome.kind, 'accepted')
  t.true((result?.afterMs ?? Infinity) <= 200)
})

test('while the store is away for all, callers are told so at once', async (t) => {
  const { route, clock } = setUp([storeAway], [OWNER], 0, 'bothAway')
  const result = await settled(clock, route.submit(SUBMISSION, CALLER_WAITS_MS))
  t.like(result?.outcome, { kind: 'refused', retryAfterMs: 1000 })
  t.true((result?.afterMs ?? Infinity) <= 25)
})
