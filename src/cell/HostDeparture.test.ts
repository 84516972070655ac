/**
 * What becomes of the runs of a host that is missing from the host list or has restarted, on simulated hosts.
 */

import test from 'ava'
import { ok } from 'neverthrow'
import { CellScheduler } from '../common/cell/CellScheduler.js'
import { TOKENS_PER_OWNER } from '../common/cell/HostFence.js'
import { Job } from '../common/cell/Job.js'
import { ManualClock } from '../common/Clock.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { loadChart } from '../runtime/ChartLoader.js'
import { advance } from '../../test/support/advance.js'
import { QUEUE, STEP } from '../../test/support/SimulatedCell.js'
import { SimulatedHost } from '../../test/support/SimulatedHost.js'
import { HostSessions } from './HostSessions.js'

import type { ExecutionContext } from 'ava'
import type { HoldOutcome, IHostEntry, IHostOrders, IMetadataItem, IStepSpec } from '../common/cell/Types.js'
import type { IHostSessionsContext } from './HostSessions.js'

const OWNER_REVISION = 1
const FENCE = OWNER_REVISION * TOKENS_PER_OWNER
const MAX_HOLD_MS = 10_000
const HEARTBEAT_MS = 1500
const LATENCY_MS = 20
const PASS_DELAY_MS = 4
/** Entries that are not renewed for this long are removed. */
const EXPIRY_MS = 3 * HEARTBEAT_MS
const SETTLED_MS = 1500
const DRAIN_MS = 5600
/** Shorter than the pause after a failed poll. */
const SHORT_WORK_MS = 60
/** The longest time that a task may wait although there is room for it. */
const MAX_WAIT_MS = 3000

/** Three hosts and a store that holds their entries. */
class DrainingCell {
  public readonly clock = new ManualClock()
  public readonly hosts: readonly SimulatedHost[]
  public readonly scheduler: CellScheduler
  /** A host that answers each poll with an error. */
  public unhealthy: SimulatedHost | undefined
  private readonly _entries = new Map<string, IMetadataItem>()
  private readonly _sessions: HostSessions
  /** The hosts whose entries are missing. */
  private readonly _removed = new Set<string>()
  private _revision = 1

  public constructor (t: ExecutionContext, workMs = 60_000) {
    const { clock } = this
    const log = new SilentLogger()
    this.hosts = [0, 1, 2].map((number) => new SimulatedHost({
      hostId: `host-${number}`, cpuMillicores: 8000, memoryMb: 64_000, rack: 'rack', maxHoldMs: MAX_HOLD_MS, workMs: () => workMs, endOf: () => 'done'
    }, clock))
    const orders: IHostOrders = {
      start: async ({ hostId }, order) => this._hostOf(hostId).start(order),
      stop: async ({ hostId }, ref, fence) => this._hostOf(hostId).stop(ref, fence),
      hold: async ({ hostId }, order) => await this._hold(hostId, order),
      reconnect: () => {},
      forget: () => {}
    }
    this.scheduler = new CellScheduler({
      save: async () => {},
      start: async (entry, order) => await orders.start(entry, order),
      stop: async (entry, ref, fence) => await orders.stop(entry, ref, fence),
      stopUnknown: async (entry, ref, fence) => await orders.stop(entry, ref, fence),
      onFenced: () => {},
      onRestartSuspected: (hostId) => { this._sessions.pollNow(hostId) },
      requestPass: () => { clock.after(PASS_DELAY_MS, () => { this.scheduler.runPass() }) },
      recordDuration: () => {},
      count: () => {},
      machines: () => [],
      send: async () => ({ kind: 'busy' })
    }, { farFactor: 2, ownerRevision: OWNER_REVISION, maxHoldMs: MAX_HOLD_MS, inheritedUntilMs: 0 }, loadChart('attempt')._unsafeUnwrap(), clock, log)
    this._sessions = new HostSessions({
      store: { range: async () => await this._readList() },
      orders,
      records: { hostsPrefix: '', decodeHostEntry: ({ value }: IMetadataItem) => ok(JSON.parse(value) as IHostEntry) },
      scheduler: this.scheduler,
      clock,
      log,
      holdUntilMs: () => Infinity,
      onFenced: () => {},
      requestPass: () => { this.scheduler.runPass() }
    } as unknown as IHostSessionsContext, { maxHoldMs: MAX_HOLD_MS, heartbeatMs: HEARTBEAT_MS, processorCores: 1 })
    this._renewAll()
    clock.every(HEARTBEAT_MS, () => { this._renewAll() })
    clock.every(LATENCY_MS, () => { for (const host of this.hosts) host.tick() })
    this._sessions.start()
    t.teardown(() => { this._sessions.dispose() })
  }

  /** The number of tasks that run on any host. */
  public get runningCount (): number {
    return this.hosts.reduce((sum, { running }) => sum + running.size, 0)
  }

  /** The number of runs that the hosts have started. */
  public get startedCount (): number {
    return this.hosts.reduce((sum, { started }) => sum + started.length, 0)
  }

  public submit (step: Partial<IStepSpec>): void {
    this.scheduler.admit(new Job({ jobId: '1', description: '', occurrences: 0, steps: [{ ...STEP, ...step }] }, QUEUE, this.clock.nowMs()))
  }

  /** The host ends all its runs and removes its entry. */
  public leave (host: SimulatedHost): void {
    host.isSilent = true
    host.running.clear()
    this.removeEntry(host)
  }

  public removeEntry ({ options }: SimulatedHost): void {
    this._revision += 1
    this._entries.delete(options.hostId)
    this._removed.add(options.hostId)
  }

  /** The host is reached again, and writes its entry. */
  public return (host: SimulatedHost): void {
    host.isSilent = false
    this._removed.delete(host.options.hostId)
    this._renew(host)
  }

  private _renewAll (): void {
    for (const host of this.hosts) if (!host.isSilent && !this._removed.has(host.options.hostId)) this._renew(host)
  }

  private _renew ({ entry }: SimulatedHost): void {
    this._revision += 1
    this._entries.set(entry.hostId, { key: entry.hostId, value: JSON.stringify(entry), revision: this._revision })
  }

  private async _readList () {
    await this._travel()
    const value = { items: [...this._entries.values()], revision: this._revision }
    await this._travel()
    return { kind: 'read', value } as const
  }

  private async _hold (hostId: string, order: Parameters<SimulatedHost['hold']>[0]): Promise<HoldOutcome> {
    await this._travel()
    const answer = this._hostOf(hostId).hold(order)
    await this._travel()
    if (answer === 'fenced') return { kind: 'fenced' }
    if (this.unhealthy === this._hostOf(hostId)) return { kind: 'failed', reason: 'status 503', hasAnswered: true }
    return answer === undefined ? { kind: 'failed', reason: 'silent' } : { kind: 'held', answer }
  }

  private async _travel (): Promise<void> {
    await new Promise<void>((resolve) => { this.clock.after(LATENCY_MS, resolve) })
  }

  private _hostOf (hostId: string): SimulatedHost {
    const host = this.hosts.find(({ options }) => options.hostId === hostId)
    if (host === undefined) throw new Error(`no host ${hostId}`)
    return host
  }
}

/** Starts two tasks that run on different hosts, one of which then drains for longer than a heartbeat interval. */
async function setUp (t: ExecutionContext, step: Partial<IStepSpec> = {}) {
  const cell = new DrainingCell(t)
  await advance(cell.clock, SETTLED_MS, LATENCY_MS)
  cell.submit({ count: 2, maxPerHost: 1, ...step })
  await advance(cell.clock, SETTLED_MS, LATENCY_MS)
  const leaving = cell.hosts.find((host) => host.running.size > 0)
  if (leaving === undefined) throw new Error('nothing runs')
  t.is(cell.runningCount, 2)
  leaving.isDraining = true
  await advance(cell.clock, DRAIN_MS, LATENCY_MS)
  return { cell, leaving }
}

test('a task of a host that has drained and left runs elsewhere at once', async (t) => {
  // Otherwise its run counts until its lease has ended, and the job stands still although hosts are free.
  const { cell, leaving } = await setUp(t)
  cell.leave(leaving)
  await advance(cell.clock, MAX_WAIT_MS, LATENCY_MS)
  t.is(cell.runningCount, 2)
  t.false(cell.scheduler.hosts.has(leaving.options.hostId))
})

test('a gang that loses a member with a host that has left runs again at once', async (t) => {
  // The other members end as broken, and the gang waits until the run on the host that left counts as gone.
  const { cell, leaving } = await setUp(t, { gang: true })
  cell.leave(leaving)
  for (const host of cell.hosts) for (const { ref } of [...host.running.values()]) host.stop(ref, FENCE)
  await advance(cell.clock, MAX_WAIT_MS, LATENCY_MS)
  t.is(cell.runningCount, 2)
})

test('a task of a draining host that still serves does not start elsewhere when its entry is missing', async (t) => {
  // Its process removes the entry some time before it ends, and the entry may come back with a heartbeat that was under way.
  const { cell, leaving } = await setUp(t)
  cell.removeEntry(leaving)
  let maxRunning = 0
  for (let elapsedMs = 0; elapsedMs < MAX_WAIT_MS; elapsedMs += LATENCY_MS) {
    await advance(cell.clock, LATENCY_MS, LATENCY_MS)
    maxRunning = Math.max(maxRunning, cell.runningCount)
  }
  t.is(maxRunning, 2)
  cell.leave(leaving)
  await advance(cell.clock, MAX_WAIT_MS, LATENCY_MS)
  t.is(cell.runningCount, 2)
  t.is(leaving.running.size, 0)
})

test('a task of a draining host that answers its polls with errors does not start elsewhere when its entry is missing', async (t) => {
  // An error is an answer: the host serves on, and so do its runs, until their leases have ended.
  const { cell, leaving } = await setUp(t)
  cell.unhealthy = leaving
  cell.removeEntry(leaving)
  await advance(cell.clock, MAX_WAIT_MS, LATENCY_MS)
  t.is(cell.runningCount, 2)
})

test('a task of a draining host that is cut off starts elsewhere only after its last lease has ended', async (t) => {
  // Its entry expires, which looks like a departure, but the host goes on with the task, and it would run twice.
  const { cell, leaving } = await setUp(t)
  leaving.isSilent = true
  cell.clock.after(EXPIRY_MS, () => { cell.removeEntry(leaving) })
  let maxRunning = 0
  for (let elapsedMs = 0; elapsedMs < 2 * MAX_HOLD_MS; elapsedMs += LATENCY_MS) {
    await advance(cell.clock, LATENCY_MS, LATENCY_MS)
    maxRunning = Math.max(maxRunning, cell.runningCount)
  }
  t.is(maxRunning, 2)
  t.is(leaving.running.size, 0)
  t.is(cell.runningCount, 2)
})

test('a host that was cut off until its leases had ended gets work again whenever it is back', async (t) => {
  // Polls that end with its leases would not begin again if the list shows the host before it is forgotten.
  for (let returnMs = MAX_HOLD_MS; returnMs < MAX_HOLD_MS + MAX_WAIT_MS; returnMs += 3 * LATENCY_MS) {
    const cell = new DrainingCell(t)
    await advance(cell.clock, SETTLED_MS, LATENCY_MS)
    const [host] = cell.hosts
    if (host === undefined) throw new Error('no host')
    host.isSilent = true
    cell.clock.after(EXPIRY_MS, () => { cell.removeEntry(host) })
    await advance(cell.clock, returnMs, LATENCY_MS)
    cell.return(host)
    await advance(cell.clock, MAX_WAIT_MS, LATENCY_MS)
    t.true(cell.scheduler.hosts.get(host.options.hostId)?.isPlaceable(cell.clock.nowMs()), `back after ${returnMs} ms`)
  }
})

test('the first poll after a restart does not acknowledge ends that the owner has not seen', async (t) => {
  // The host numbers its ends from one again, and the owner would go by the last number of the earlier incarnation.
  const cell = new DrainingCell(t, SHORT_WORK_MS)
  await advance(cell.clock, SETTLED_MS, LATENCY_MS)
  for (const count of [6, 6]) {
    cell.submit({ count })
    await advance(cell.clock, SETTLED_MS, LATENCY_MS)
  }
  const startedBefore = cell.startedCount
  for (const host of cell.hosts) host.isSilent = true
  await advance(cell.clock, SHORT_WORK_MS, LATENCY_MS)
  for (const host of cell.hosts) {
    host.restart()
    host.isSilent = false
  }
  cell.submit({ count: 3, maxPerHost: 1 })
  await advance(cell.clock, MAX_WAIT_MS, LATENCY_MS)
  t.is(cell.startedCount - startedBefore, 3)
})
