/**
 * An owner that the store doesn't answer, over links with scripted answers.
 */

import test from 'ava'
import { ok, ResultAsync } from 'neverthrow'
import { ManualClock } from '../common/Clock.js'
import { Emitter } from '../common/Emitter.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { advance } from '../../test/support/advance.js'
import { RENEW_INTERVAL_MS } from './Ownership.js'
import { StoreLossHandover } from './StoreLossHandover.js'

import type { ExecutionContext } from 'ava'
import type { Result } from 'neverthrow'
import type { IPeerHub } from '../peer/Types.js'
import type { IOwnerRecord } from './Types.js'

const RECORD: IOwnerRecord = { processId: 'owner', incarnation: 1, peerUrl: 'ws://owner', revision: 7 }
/** Duration of the owner's lease, in ms. */
const LEASE_MS = 1000
const NEVER = Infinity

/** How long the store takes to answer each process, in ms. */
interface IStoreTimes {
  readonly owner: number
  readonly peers: readonly number[]
}

function setUp (t: ExecutionContext, times: IStoreTimes, acquireMs = 0) {
  const clock = new ManualClock()
  const calls: string[] = []
  const after = async <T>(ms: number, value: T): Promise<T> => await new Promise((resolve) => {
    if (ms < NEVER) clock.after(ms, () => { resolve(value) })
  })
  const links = times.peers.map((ms, number) => {
    const processId = `peer-${number}`
    return {
      peer: { processId, incarnation: number },
      call: (name: string) => {
        calls.push(`${name} ${processId}`)
        const reply = name === 'cellTakeOver' ? { isOwner: true } : { isWilling: true, yieldMs: 0, peerUrl: '' }
        return new ResultAsync(after<Result<object, never>>(ms, ok(reply)))
      }
    }
  })
  const hub = { links: () => links, link: (processId: string) => links.find(({ peer }) => peer.processId === processId) }
  const confirmed = new Emitter<number>()
  const checkStoreReachable = async (): Promise<boolean> => await after(times.owner, true)
  const ownership = { record: RECORD, onConfirmed: confirmed.event, confirmedAtMs: clock.nowMs() - acquireMs, checkStoreReachable }
  const relief = new StoreLossHandover(hub as unknown as IPeerHub, ownership, RECORD, clock, new SilentLogger())
  t.teardown(() => { relief.dispose() })
  /** The store confirms the owner now, `durationMs` after the request. */
  const confirm = (durationMs: number): void => {
    ownership.confirmedAtMs = clock.nowMs() - durationMs
    confirmed.fire(ownership.confirmedAtMs)
  }
  return { clock, calls, confirm, taken: () => calls.filter((call) => call.startsWith('cellTakeOver')) }
}

test('an owner that the store doesn\'t answer hands the cell to a process that the store answers, before its lease ends', async (t) => {
  const { clock, taken } = setUp(t, { owner: NEVER, peers: [NEVER, 5, NEVER] })
  await advance(clock, LEASE_MS - 300, 10)
  t.deepEqual(taken(), ['cellTakeOver peer-1'])
})

test('an owner keeps the cell while the store answers no process', async (t) => {
  const { clock, taken } = setUp(t, { owner: NEVER, peers: [NEVER, NEVER] })
  await advance(clock, LEASE_MS * 4, 10)
  t.deepEqual(taken(), [])
})

test('an owner keeps the cell while the store is slow for all processes', async (t) => {
  const { clock, taken } = setUp(t, { owner: 350, peers: [290, 300] })
  await advance(clock, LEASE_MS * 4, 10)
  t.deepEqual(taken(), [])
})

test('an owner keeps the cell if the store answers it again before the handover', async (t) => {
  const { clock, taken, calls, confirm } = setUp(t, { owner: NEVER, peers: [50, 50] })
  await advance(clock, 450, 10)
  t.is(calls.length, 2)
  confirm(0)
  await advance(clock, 300, 10)
  t.deepEqual(taken(), [])
})

test('an owner that is confirmed in time sends no requests', async (t) => {
  const { clock, calls, confirm } = setUp(t, { owner: 5, peers: [5, 5] })
  for (let round = 0; round < 20; round += 1) {
    confirm(5)
    await advance(clock, 350, 10)
  }
  t.deepEqual(calls, [])
})

test('an owner whose confirmations are late because it is busy sends no requests', async (t) => {
  // Requests to all peers once a second would use up the little processor time that it has left.
  const { clock, calls, confirm } = setUp(t, { owner: 5, peers: [5, 5] })
  for (let round = 0; round < 8; round += 1) {
    confirm(300)
    await advance(clock, 50, 10)
  }
  for (let round = 0; round < 20; round += 1) {
    await advance(clock, 500, 10)
    confirm(300)
  }
  t.deepEqual(calls, [])
})

test('a new owner of a cell whose store is slow for all sends no requests before the store can have confirmed it', async (t) => {
  // One that is also busy with reading the jobs would lose the cell to a process that is no better, and that has to read them again.
  const storeMs = 210
  const { clock, calls, confirm } = setUp(t, { owner: storeMs, peers: [storeMs, storeMs] }, storeMs)
  await advance(clock, RENEW_INTERVAL_MS + storeMs + 100, 10)
  t.deepEqual(calls, [])
  for (let round = 0; round < 8; round += 1) {
    confirm(storeMs)
    await advance(clock, RENEW_INTERVAL_MS, 10)
  }
  t.deepEqual(calls, [])
})
