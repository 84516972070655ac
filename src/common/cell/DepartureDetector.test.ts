/**
 * When a host that is missing from the list counts as having left.
 */

import test from 'ava'
import { DepartureDetector } from './DepartureDetector.js'

import type { IHostEntry } from './Types.js'

const HEARTBEAT_MS = 1500
const EXPIRY_MS = 3 * HEARTBEAT_MS
const POLL_MS = 600
const LATENCY_MS = 20

const HOST_ID = 'host-0'

function entryAt (clockMs: number, draining = true): IHostEntry {
  return {
    hostId: HOST_ID,
    bornMs: 1,
    service: '',
    address: '',
    failureDomain: '',
    draining,
    clockMs,
    cpuMillicores: 1,
    memoryMb: 1,
    accelerators: 0,
    labels: [],
    rack: ''
  }
}

interface IPolledHost {
  readonly lastRenewalMs: number
  /** When the store removes the entry. */
  readonly removedMs: number
  readonly isDraining?: boolean
  readonly latencyMs?: number
  /** From then on, another program has overwritten the entry. */
  readonly overwrittenMs?: number
}

/** Polls a list with one host, which renews its entry at each heartbeat. Returns when its departure was noticed. */
function poll ({ lastRenewalMs, removedMs, isDraining = true, latencyMs = LATENCY_MS, overwrittenMs = Infinity }: IPolledHost): readonly number[] {
  const detector = new DepartureDetector(HEARTBEAT_MS, ({ clockMs = -Infinity }) => clockMs)
  const noticedAtMs: number[] = []
  for (let requestedAtMs = 0; requestedAtMs < removedMs + 10_000; requestedAtMs += POLL_MS) {
    const atMs = requestedAtMs + latencyMs / 2
    const receivedAtMs = requestedAtMs + latencyMs
    const renewal = Math.floor(Math.min(atMs, lastRenewalMs) / HEARTBEAT_MS)
    const entry = atMs >= overwrittenMs ? undefined : entryAt(renewal * HEARTBEAT_MS, isDraining)
    const items = atMs < removedMs ? [{ key: HOST_ID, revision: renewal, entry }] : []
    for (const { hostId } of detector.recordList({ items, revision: Math.floor(atMs), receivedAtMs })) {
      if (hostId === HOST_ID) noticedAtMs.push(receivedAtMs)
    }
  }
  return noticedAtMs
}

test('a draining host whose entry was removed before it could expire has left', (t) => {
  const removedMs = 10_400
  const [noticedAtMs = Infinity, ...others] = poll({ lastRenewalMs: 9000, removedMs })
  t.true(noticedAtMs <= removedMs + POLL_MS + LATENCY_MS)
  t.deepEqual(others, [])
})

test('a draining host whose entry has expired may still run its tasks', (t) => {
  for (let removedMs = 9000 + EXPIRY_MS; removedMs < 9000 + EXPIRY_MS + POLL_MS; removedMs += 50) {
    t.deepEqual(poll({ lastRenewalMs: 9000, removedMs }), [])
  }
})

test('over a slow store, an entry that has expired looks no younger', (t) => {
  for (const latencyMs of [400, 1000, 3000]) {
    t.deepEqual(poll({ lastRenewalMs: 9000, removedMs: 9000 + EXPIRY_MS, latencyMs }), [])
  }
})

test('a host that has not announced its departure may still run its tasks', (t) => {
  t.deepEqual(poll({ lastRenewalMs: 9000, removedMs: 10_400, isDraining: false }), [])
})

test('an item that another program has overwritten says nothing about its host', (t) => {
  t.deepEqual(poll({ lastRenewalMs: 9000, removedMs: 10_400, overwrittenMs: 9500 }), [])
})

test('a list from before the last renewal does not show a departure', (t) => {
  const detector = new DepartureDetector(HEARTBEAT_MS, () => 0)
  detector.recordList({ items: [{ key: HOST_ID, revision: 9, entry: entryAt(0) }], revision: 9, receivedAtMs: 620 })
  t.deepEqual(detector.recordList({ items: [], revision: 7, receivedAtMs: 640 }), [])
})
