/**
 * What a gateway asks, and whom, after a scheduler fell silent with a non-idempotent request.
 */

import { okAsync } from 'neverthrow'
import test from 'ava'
import { ManualClock } from '../common/Clock.js'
import { advance } from '../../test/support/advance.js'
import { testConfig } from '../../test/support/JobsCell.js'
import { OutcomeInquiry } from './OutcomeInquiry.js'
import { route } from './RouteRequest.js'

import type { BlockReply } from '../common/protocol/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { IFlowContext, IRoutedRequest } from './Types.js'

interface ICalled {
  readonly to: string
  readonly name: string
  readonly ask: unknown
  readonly atMs: number
}

const HEAD = { service: 'season-budget', caller: 'farm', requestId: 'r1', contentType: 'text/plain', deadlineMs: 1000, idempotent: false }
const HOLDER_INCARNATION = 7

function setUp (replies: readonly BlockReply[]): { readonly inquiry: OutcomeInquiry, readonly clock: ManualClock, readonly called: ICalled[] } {
  const clock = new ManualClock()
  const called: ICalled[] = []
  let asked = 0
  const answer = (name: string): unknown => name === 'outcomeOf' ? { outcome: 'done', status: 200 } : replies[asked++]
  const link = (to: string): unknown => to !== 'owner' && to !== 's1'
    ? undefined
    : {
        peer: { processId: to, incarnation: HOLDER_INCARNATION },
        call: (name: string, ask: unknown) => {
          called.push({ to, name, ask, atMs: clock.nowMs() })
          return okAsync(answer(name))
        }
      }
  const context = { hub: { link }, router: { ownerOf: () => 'owner' }, hasher: { claimKey: () => 'k', idShard: () => 'ids/00' }, clock, timers: clock }
  return { inquiry: new OutcomeInquiry(context as unknown as IFlowContext), clock, called }
}

function requestAt (nowMs: number): IRoutedRequest {
  return route(HEAD, new Uint8Array(), testConfig(), nowMs)._unsafeUnwrap()
}

async function settled (clock: ManualClock, answer: Promise<IFinalAnswer>): Promise<IFinalAnswer> {
  await advance(clock, 6000)
  return await answer
}

test('a block tells how old its request is, anew each time', async (t) => {
  // Claims are forgotten after a while. Of a request older than that nobody can say by their absence that it never ran;
  // were its age not told, the caller would hear "not run" of work that ran.
  const { inquiry, clock, called } = setUp([{ decision: 'notOwner' }, { decision: 'blocked' }])
  const takenAtMs = clock.nowMs()
  const request = requestAt(takenAtMs)
  await advance(clock, 400)
  t.like(await settled(clock, inquiry.settle(request, 'a1', 's1')), { outcome: 'notRun' })
  t.is(called.length, 2)
  t.deepEqual(called.map(({ ask }) => (ask as { readonly ageMs: number }).ageMs), called.map(({ atMs }) => atMs - takenAtMs))
  t.true((called[0]?.atMs ?? 0) >= takenAtMs + 400 && (called[1]?.atMs ?? 0) > (called[0]?.atMs ?? 0))
})

test('the holder of the claim is asked for the outcome', async (t) => {
  // The link was cut just after the request went out, and came back. The work has run; without the holder's word its
  // caller would be left with "unknown", and would not know whether to start the pivot again.
  const { inquiry, clock, called } = setUp([{ decision: 'claimed', holder: `s1#${HOLDER_INCARNATION}` }])
  t.like(await settled(clock, inquiry.settle(requestAt(0), 'a1', 's1')), { outcome: 'done' })
  t.like(called[1], { to: 's1', name: 'outcomeOf' })
})

test('a holder that has restarted knows nothing of the outcome', async (t) => {
  const { inquiry, clock, called } = setUp([{ decision: 'claimed', holder: 's1#1' }])
  t.like(await settled(clock, inquiry.settle(requestAt(0), 'a1', 's1')), { outcome: 'unknown' })
  t.is(called.length, 1)
})
