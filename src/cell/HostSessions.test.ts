/**
 * The list of hosts as an owner reads it.
 */

import test from 'ava'
import { err, ok } from 'neverthrow'
import { ManualClock } from '../common/Clock.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { SimulatedHost } from '../../test/support/SimulatedHost.js'
import { advance } from '../../test/support/advance.js'
import { HostFence } from '../common/cell/HostFence.js'
import { HostState } from '../common/cell/HostState.js'
import { WorkspaceUsage } from '../common/cell/WorkspaceUsage.js'
import { HostSessions } from './HostSessions.js'

import type { ExecutionContext } from 'ava'
import type { ILogFields, ILogger } from '../common/observability/Types.js'
import type { HoldOutcome, IHoldOrder, IHostEntry, IMetadataItem, IMetadataRange, ReadOutcome } from '../common/cell/Types.js'
import type { IHostSessionsContext } from './HostSessions.js'

const HOST_ID = 'h'
const TWO_POLLS_MS = 1500

function rangeOf (state: 'ready' | 'draining', revision: number): ReadOutcome<IMetadataRange> {
  return { kind: 'read', value: { items: [{ key: HOST_ID, value: state, revision }], revision } }
}

interface IListedHost {
  readonly entry: IHostEntry
  readonly isListed: boolean
  readonly attempts: ReadonlySet<object>
}

function setUp (t: ExecutionContext, clock: ManualClock, context: object) {
  const hosts = new Map<string, IListedHost>()
  const sessions = new HostSessions({
    orders: { hold: async () => await new Promise<never>(() => {}), reconnect: () => {}, forget: () => {} },
    records: { hostsPrefix: '', decodeHostEntry: ({ key, value }: IMetadataItem) => ok({ hostId: key, draining: value === 'draining' }) },
    scheduler: {
      hosts,
      loseRunsIfLapsed: () => false,
      addHost: (entry: IHostEntry) => {
        hosts.set(entry.hostId, { entry, isListed: true, attempts: new Set() })
        return hosts.get(entry.hostId)
      }
    },
    clock,
    log: new SilentLogger(),
    holdUntilMs: () => 0,
    onFenced: () => {},
    requestPass: () => {},
    ...context
  } as unknown as IHostSessionsContext, { maxHoldMs: 6000, heartbeatMs: 1500, processorCores: 1 })
  t.teardown(() => { sessions.dispose() })
  return { sessions, hosts }
}

test('a list that was overtaken by a newer one is ignored', async (t) => {
  // Otherwise a draining host would be considered ready again, and would be given new runs.
  const clock = new ManualClock()
  const answers: ((outcome: ReadOutcome<IMetadataRange>) => void)[] = []
  const { sessions, hosts } = setUp(t, clock, {
    store: { range: async () => await new Promise<ReadOutcome<IMetadataRange>>((resolve) => { answers.push(resolve) }) }
  })
  sessions.start()
  await advance(clock, TWO_POLLS_MS)
  const [first, second] = answers
  second?.(rangeOf('draining', 2))
  await advance(clock, 1)
  first?.(rangeOf('ready', 1))
  await advance(clock, 1)
  t.true(hosts.get(HOST_ID)?.entry.draining)
})

test('a new owner opens the sessions with hundreds of hosts a few at a time, and those with runs first', async (t) => {
  // Opened on end, they would keep it from renewing its lease and from answering its peers.
  const clock = new ManualClock()
  const polled: string[] = []
  const hold = async ({ hostId }: IHostEntry): Promise<never> => {
    polled.push(hostId)
    return await new Promise<never>(() => {})
  }
  const { sessions, hosts } = setUp(t, clock, { orders: { hold } })
  const items = Array.from({ length: 200 }, (_, number) => ({ key: `h-${number}`, value: 'ready', revision: 1 }))
  sessions.applyList({ items, revision: 1 })
  const busy = hosts.get('h-199')
  if (busy !== undefined) hosts.set('h-199', { ...busy, attempts: new Set([{}]) })
  let mostAtOnce = 0
  while (polled.length < items.length) {
    const before = polled.length
    await advance(clock, 1)
    mostAtOnce = Math.max(mostAtOnce, polled.length - before)
  }
  t.is(polled[0], 'h-199')
  t.true(mostAtOnce <= 40)
  t.is(sessions.size, items.length)
})

test('a malformed entry among those of the hosts is logged once, and the others stay in use', async (t) => {
  // Otherwise the owner would stop following the list, or fill the log with an entry that it reads twice a second.
  const clock = new ManualClock()
  const events: string[] = []
  const warn = (event: string, fields: ILogFields = {}): void => {
    if (event === 'record.malformed') events.push(`${String(fields.key)} ${String(fields.fields)}`)
  }
  const log: ILogger = { debug: () => {}, info: () => {}, warn, error: () => {} }
  let value = 'malformed'
  const range = async () => ({ kind: 'read', value: { items: [{ key: 'other', value, revision: 1 }, { key: HOST_ID, value: 'ready', revision: 1 }], revision: 2 } })
  const decodeHostEntry = ({ key, value: text }: IMetadataItem) =>
    text === 'ready' ? ok({ hostId: key, draining: false }) : err({ field: 'address', reason: text })
  const { sessions, hosts } = setUp(t, clock, { log, store: { range }, records: { hostsPrefix: '', decodeHostEntry } })
  sessions.start()
  await advance(clock, 3 * TWO_POLLS_MS)
  t.deepEqual([...hosts.keys()], [HOST_ID])
  t.deepEqual(events, ['other address: malformed'])
  value = 'worse'
  await advance(clock, TWO_POLLS_MS)
  t.deepEqual(events.slice(1), ['other address: worse'])
  value = 'ready'
  await advance(clock, TWO_POLLS_MS)
  t.deepEqual([...hosts.keys()].sort(), [HOST_ID, 'other'])
})

test('the list is read again after one that could not be applied', async (t) => {
  // An error while a list is applied was not handled, and ended the process.
  const clock = new ManualClock()
  let reads = 0
  const range = async () => {
    reads += 1
    if (reads === 1) return { kind: 'read', value: undefined }
    return rangeOf('ready', reads)
  }
  const { sessions, hosts } = setUp(t, clock, { store: { range } })
  sessions.start()
  await advance(clock, 2 * TWO_POLLS_MS)
  t.true(hosts.has(HOST_ID))
})

test('the runs of a host that is cut off after its entry has changed are given up', async (t) => {
  // Each list interrupted the poll before its timeout, so that no poll ever failed, and its tasks waited for as long as the entry was there.
  const clock = new ManualClock()
  let failures = 0
  let polls = 0
  const hold = async (_host: IHostEntry, { waitMs }: IHoldOrder, signal: AbortSignal): Promise<HoldOutcome> => await new Promise((resolve) => {
    polls += 1
    const fail = (): void => { resolve({ kind: 'failed', reason: 'timeout' }) }
    signal.addEventListener('abort', fail)
    clock.after(waitMs + 700, fail)
  })
  const { entry } = new SimulatedHost({
    hostId: HOST_ID, cpuMillicores: 1, memoryMb: 1, rack: 'rack', maxHoldMs: 6000, workMs: () => 1, endOf: () => 'done'
  }, clock)
  let bornMs = 1
  const states = new Map<string, HostState>()
  let revision = 0
  const { sessions } = setUp(t, clock, {
    orders: { hold, reconnect: () => {}, forget: () => {} },
    store: { range: async () => { revision += 1; return rangeOf('ready', revision) } },
    records: { hostsPrefix: '', decodeHostEntry: () => ok({ ...entry, bornMs }) },
    scheduler: {
      hosts: states,
      loseRunsIfLapsed: () => { failures += 1; return false },
      addHost: (added: IHostEntry) => {
        const host = states.get(HOST_ID) ?? new HostState(added, { maxHoldMs: 6000, inheritedUntilMs: 0 }, new HostFence(1), new WorkspaceUsage())
        host.entry = added
        states.set(HOST_ID, host)
        return host
      }
    }
  })
  sessions.start()
  await advance(clock, 5000)
  t.true(failures > 2)
  failures = 0
  polls = 0
  bornMs = 2
  await advance(clock, 10_000)
  t.true(failures > 2, `${failures} failures of ${polls} polls`)
})
