/**
 * An owner whose peers fall silent.
 */

import test from 'ava'
import { ManualClock } from '../common/Clock.js'
import { Emitter } from '../common/Emitter.js'
import { OwnerIsolation } from './OwnerIsolation.js'

import type { ExecutionContext } from 'ava'
import type { IPeerHub } from '../peer/Types.js'

const LOOKS_MS = 3000

function setUp (t: ExecutionContext) {
  const clock = new ManualClock()
  const lost = new Emitter<[{ readonly processId: string }, string]>()
  const linked = new Emitter<{ readonly peer: { readonly processId: string } }>()
  const hub = {
    onLink: linked.event,
    onLost: (listener: (peer: { readonly processId: string }, cause: string) => void) => lost.event(([peer, cause]) => { listener(peer, cause) }),
    links: () => [{}]
  } as unknown as IPeerHub
  const owner = { isOwner: true, isConfirmed: true }
  const told: number[] = []
  const isolation = new OwnerIsolation(hub, owner, (silent) => { told.push(silent) }, clock)
  t.teardown(() => { isolation.dispose() })
  return {
    clock,
    owner,
    told,
    fallSilent: (...names: readonly string[]) => { for (const processId of names) lost.fire([{ processId }, 'silent']) },
    link: (processId: string) => { linked.fire({ peer: { processId } }) }
  }
}

test('an owner that most peers can\'t reach steps aside', (t) => {
  const { clock, told, fallSilent } = setUp(t)
  fallSilent('b', 'c', 'd')
  clock.advance(LOOKS_MS)
  t.is(told[0], 3)
})

test('an owner keeps the cell while nobody can take it, since the store is away', (t) => {
  // More than half of the machines lost power during an outage of the store: with it the cell came back 1.3 s after the store.
  const { clock, owner, told, fallSilent, link } = setUp(t)
  owner.isConfirmed = false
  fallSilent('b', 'c', 'd')
  clock.advance(LOOKS_MS)
  t.deepEqual(told, [])
  for (const processId of ['b', 'c', 'd']) link(processId)
  owner.isConfirmed = true
  clock.advance(LOOKS_MS)
  t.deepEqual(told, [])
})

test('an owner that most peers still can\'t reach when the store is back steps aside', (t) => {
  const { clock, owner, told, fallSilent } = setUp(t)
  owner.isConfirmed = false
  fallSilent('b', 'c', 'd')
  clock.advance(LOOKS_MS)
  owner.isConfirmed = true
  clock.advance(LOOKS_MS)
  t.is(told[0], 3)
})
