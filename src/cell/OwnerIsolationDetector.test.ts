/**
 * An owner whose links to peers fall silent.
 */

import test from 'ava'
import { ok } from 'neverthrow'
import { ManualClock } from '../common/Clock.js'
import { Emitter } from '../common/Emitter.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { advance } from '../../test/support/advance.js'
import { OwnerIsolationDetector } from './OwnerIsolationDetector.js'

import type { ExecutionContext } from 'ava'
import type { IPeerHub } from '../peer/Types.js'

const CHECKS_MS = 3000
/** Machines that lost power have recovered by then, in ms; peers that are cut off may not have. */
const POWER_RECOVERED_MS = 8000

/** @param reachedByOthers peers that the only peer with a link to this process reaches */
function setUp (t: ExecutionContext, reachedByOthers: readonly string[] = ['b', 'c', 'd']) {
  const clock = new ManualClock()
  const lost = new Emitter<[{ readonly processId: string }, string]>()
  const linked = new Emitter<{ readonly peer: { readonly processId: string } }>()
  const hub = {
    onLink: linked.event,
    onLost: (listener: (peer: { readonly processId: string }, cause: string) => void) => lost.event(([peer, cause]) => { listener(peer, cause) }),
    handle: () => {},
    links: () => [{ call: async () => ok({ processIds: reachedByOthers }) }]
  } as unknown as IPeerHub
  const owner = { isOwner: true, isConfirmed: true }
  const isolations: number[] = []
  const isolation = new OwnerIsolationDetector(hub, owner, (silent) => { isolations.push(silent) }, clock, new SilentLogger())
  t.teardown(() => { isolation.dispose() })
  return {
    clock,
    owner,
    isolations,
    fallSilent: (...names: readonly string[]) => { for (const processId of names) lost.fire([{ processId }, 'silent']) },
    link: (processId: string) => { linked.fire({ peer: { processId } }) }
  }
}

test('an owner that most peers can\'t reach steps aside', async (t) => {
  const { clock, isolations, fallSilent } = setUp(t)
  fallSilent('b', 'c', 'd')
  await advance(clock, CHECKS_MS)
  t.is(isolations[0], 3)
})

test('an owner keeps the cell while no process can take it because the store is unavailable', async (t) => {
  // More than half of the machines lose power during an outage of the store. If the owner stepped aside, the cell would come back 1.3 s
  // after the store.
  const { clock, owner, isolations, fallSilent, link } = setUp(t)
  owner.isConfirmed = false
  fallSilent('b', 'c', 'd')
  await advance(clock, CHECKS_MS)
  t.deepEqual(isolations, [])
  for (const processId of ['b', 'c', 'd']) link(processId)
  owner.isConfirmed = true
  await advance(clock, CHECKS_MS)
  t.deepEqual(isolations, [])
})

test('an owner steps aside if most peers still can\'t reach it when the store is back', async (t) => {
  const { clock, owner, isolations, fallSilent } = setUp(t)
  owner.isConfirmed = false
  fallSilent('b', 'c', 'd')
  await advance(clock, CHECKS_MS)
  owner.isConfirmed = true
  await advance(clock, CHECKS_MS)
  t.is(isolations[0], 3)
})

test('an owner whose peers have lost power keeps the cell', async (t) => {
  // A process that takes over would reach no more of them, and callers would wait for a takeover.
  const { clock, isolations, fallSilent } = setUp(t, ['a'])
  fallSilent('b', 'c', 'd')
  await advance(clock, CHECKS_MS)
  t.deepEqual(isolations, [])
})

test('an owner that is cut off together with the peers that it still reaches steps aside eventually', async (t) => {
  const { clock, isolations, fallSilent } = setUp(t, ['a'])
  fallSilent('b', 'c', 'd')
  await advance(clock, POWER_RECOVERED_MS)
  t.is(isolations[0], 3)
})

test('peers that could not find the owner without the store are not considered cut off as soon as it is back', async (t) => {
  const { clock, owner, isolations, fallSilent } = setUp(t, ['a'])
  owner.isConfirmed = false
  fallSilent('b', 'c', 'd')
  await advance(clock, POWER_RECOVERED_MS)
  owner.isConfirmed = true
  await advance(clock, CHECKS_MS)
  t.deepEqual(isolations, [])
})
