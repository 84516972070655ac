/**
 * How a gateway determines the outcome of a non-idempotent request whose scheduler stopped answering.
 */

import { okAsync } from 'neverthrow'
import test from 'ava'
import { ManualClock } from '../common/Clock.js'
import { advance } from '../../test/support/advance.js'
import { testConfig } from '../../test/support/JobsCell.js'
import { OutcomeResolver } from './OutcomeResolver.js'
import { routeRequest } from './RouteRequest.js'

import type { BlockReply } from '../common/protocol/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { IForwarderContext, IRoutedRequest } from './Types.js'

interface IRecordedCall {
  readonly to: string
  readonly name: string
  readonly ask: unknown
  readonly atMs: number
}

const HEAD = { service: 'season-budget', caller: 'farm', requestId: 'r1', contentType: 'text/plain', deadlineMs: 1000, idempotent: false }
const HOLDER_INCARNATION = 7

function setUp (
  replies: readonly BlockReply[]
): { readonly resolver: OutcomeResolver, readonly clock: ManualClock, readonly calls: IRecordedCall[] } {
  const clock = new ManualClock()
  const calls: IRecordedCall[] = []
  let blockCalls = 0
  const answer = (name: string): unknown => name === 'outcomeOf' ? { outcome: 'done', status: 200 } : replies[blockCalls++]
  const link = (to: string): unknown => to !== 'owner' && to !== 's1'
    ? undefined
    : {
        peer: { processId: to, incarnation: HOLDER_INCARNATION },
        call: (name: string, ask: unknown) => {
          calls.push({ to, name, ask, atMs: clock.nowMs() })
          return okAsync(answer(name))
        }
      }
  const context = {
    hub: { link }, router: { ownerOf: () => 'owner' }, hasher: { claimKey: () => 'k', idShard: () => 'ids/00' }, clock, timers: clock
  }
  return { resolver: new OutcomeResolver(context as unknown as IForwarderContext), clock, calls }
}

function requestAt (nowMs: number): IRoutedRequest {
  return routeRequest(HEAD, new Uint8Array(), testConfig(), nowMs)._unsafeUnwrap()
}

async function answerAfterAdvance (clock: ManualClock, answer: Promise<IFinalAnswer>): Promise<IFinalAnswer> {
  await advance(clock, 6000)
  return await answer
}

test('each block call carries the current age of its request', async (t) => {
  // Claims expire, so a missing claim does not prove that an older request never ran. If the calls carried no age, the
  // caller would be told "not run" about work that had run.
  const { resolver, clock, calls } = setUp([{ decision: 'notOwner' }, { decision: 'blocked' }])
  const arrivedAtMs = clock.nowMs()
  const request = requestAt(arrivedAtMs)
  await advance(clock, 400)
  t.like(await answerAfterAdvance(clock, resolver.resolve(request, 'a1', 's1')), { outcome: 'notRun' })
  t.is(calls.length, 2)
  t.deepEqual(calls.map(({ ask }) => (ask as { readonly ageMs: number }).ageMs), calls.map(({ atMs }) => atMs - arrivedAtMs))
  t.true((calls[0]?.atMs ?? 0) >= arrivedAtMs + 400 && (calls[1]?.atMs ?? 0) > (calls[0]?.atMs ?? 0))
})

test('the holder of the claim is asked for the outcome', async (t) => {
  // The link was lost just after the request was sent, and came back; the work has run. If the holder were not asked, the
  // caller would get "unknown" and would not know whether to start the pivot again.
  const { resolver, clock, calls } = setUp([{ decision: 'claimed', holder: `s1#${HOLDER_INCARNATION}` }])
  t.like(await answerAfterAdvance(clock, resolver.resolve(requestAt(0), 'a1', 's1')), { outcome: 'done' })
  t.like(calls[1], { to: 's1', name: 'outcomeOf' })
})

test('the outcome is unknown if the holder of the claim has restarted', async (t) => {
  const { resolver, clock, calls } = setUp([{ decision: 'claimed', holder: 's1#1' }])
  t.like(await answerAfterAdvance(clock, resolver.resolve(requestAt(0), 'a1', 's1')), { outcome: 'unknown' })
  t.is(calls.length, 1)
})
