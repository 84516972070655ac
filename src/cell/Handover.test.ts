/**
 * Planned stop of the owner, over links with scripted answers.
 */

import test from 'ava'
import { err, ok, ResultAsync } from 'neverthrow'
import { AmbiguousError } from '../common/Errors.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { registerOwnershipHandlers, handOver } from './Handover.js'

import type { IPeerHub } from '../peer/Types.js'
import type { Ownership } from './Ownership.js'
import type { IOwnerRecord } from './Types.js'

const RECORD: IOwnerRecord = { processId: 'owner', incarnation: 1, peerUrl: 'ws://owner', revision: 7 }

interface IPeer {
  readonly processId: string
  readonly isWilling: boolean
  /** Its answer to the request to take the cell over; no answer if undefined. */
  readonly takes?: boolean
}

function setUp (peers: readonly IPeer[], isOwner = true) {
  const events: string[] = []
  const links = peers.map(({ processId, isWilling, takes }) => ({
    peer: { processId, incarnation: 1 },
    call: (name: string) => {
      events.push(`${name} ${processId}`)
      if (name === 'cellOffer') return new ResultAsync(Promise.resolve(ok({ isWilling, yieldMs: 0, peerUrl: '' })))
      return new ResultAsync(Promise.resolve(takes === undefined ? err(new AmbiguousError(name, processId, 'no answer')) : ok({ isOwner: takes })))
    }
  }))
  const hub = { links: () => links, link: (processId: string) => links.find(({ peer }) => peer.processId === processId) }
  const ownership = {
    isOwner,
    record: RECORD,
    prepareToStop: () => { events.push('leaves') },
    release: async () => { events.push('releases') }
  }
  const done = handOver(hub as unknown as IPeerHub, ownership as unknown as Ownership, new SilentLogger())
  return { done, events }
}

test('the record is not released if another process takes the cell over', async (t) => {
  // After a release the cell would have no owner until the other processes have noticed it, and all callers would be refused.
  const { done, events } = setUp([{ processId: 'busy', isWilling: false }, { processId: 'next', isWilling: true, takes: true }])
  await done
  t.deepEqual(events, ['leaves', 'cellOffer busy', 'cellOffer next', 'cellTakeOver next'])
})

test('the record is released if the successor can\'t take the cell over, and if there is no successor', async (t) => {
  // Otherwise the cell would belong to a process that has ended, until its lease ends.
  for (const peers of [[{ processId: 'next', isWilling: true, takes: false }], [{ processId: 'next', isWilling: true }], [{ processId: 'busy', isWilling: false }], []]) {
    const { done, events } = setUp(peers)
    await done
    t.is(events.filter((event) => event === 'releases').length, 1)
  }
})

test('a stopping process that isn\'t the owner sends no requests', async (t) => {
  const { done, events } = setUp([{ processId: 'next', isWilling: true, takes: true }], false)
  await done
  t.deepEqual(events, ['leaves'])
})

test('a process that the store has not answered recently does not offer to own the cell', async (t) => {
  // If such a process were named as the standby, it could not take the cell over.
  const handlers = new Map<string, () => Promise<{ readonly isWilling: boolean }>>()
  const hub = { handle: (name: string, handler: () => Promise<{ readonly isWilling: boolean }>) => { handlers.set(name, handler) } }
  const ownership = { canAcquire: true, isCurrent: false, yieldMs: 0, peerUrl: '', checkStoreReachable: async () => false }
  registerOwnershipHandlers(hub as unknown as IPeerHub, ownership as unknown as Ownership, { offeredFitness: 1, recordRequest: () => {} })
  t.is((await handlers.get('cellOffer')?.())?.isWilling, false)
  t.is((await handlers.get('cellRelief')?.())?.isWilling, false)
  ownership.isCurrent = true
  t.is((await handlers.get('cellOffer')?.())?.isWilling, true)
})

test('a process reports its fitness, and passes on who asks it for relief without changing the record that it takes', async (t) => {
  const handlers = new Map<string, (request: object) => Promise<object>>()
  const hub = { handle: (name: string, handler: (request: object) => Promise<object>) => { handlers.set(name, handler) } }
  const taken: object[] = []
  const acceptHandover = async (owner: object): Promise<boolean> => taken.push(owner) > 0
  const ownership = { canAcquire: true, isCurrent: true, yieldMs: 0, peerUrl: '', checkStoreReachable: async () => true, acceptHandover }
  let requests = 0
  const candidate = { offeredFitness: 0.5, recordRequest: () => { requests += 1 } }
  registerOwnershipHandlers(hub as unknown as IPeerHub, ownership as unknown as Ownership, candidate)
  t.deepEqual(await handlers.get('cellRelief')?.(RECORD), { isWilling: true, yieldMs: 0, peerUrl: '', fitness: 0.5 })
  await handlers.get('cellTakeOver')?.(RECORD)
  t.is(requests, 0)
  await handlers.get('cellTakeOver')?.({ ...RECORD, isRelief: true })
  t.is(requests, 1)
  t.deepEqual(taken, [RECORD, RECORD])
})
