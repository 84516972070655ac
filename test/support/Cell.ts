/**
 * A whole cell on loopback for tests, scripts and benchmarks: stand-ins for the platform and the hosts, and real gateways and
 * schedulers. Each is a process of its own that listens on a free port.
 */

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'

import { CallerClient } from './CallerClient.js'
import { startProcess } from './Processes.js'
import { TcpForwarder } from './TcpForwarder.js'

import type { IHostRecord } from '../../src/runtime/Types.js'
import type { ProcessHandle } from './Processes.js'

export interface ICellOptions {
  readonly regions: readonly string[]
  readonly gatewaysPerRegion: number
  readonly schedulersPerRegion: number
  readonly runnersPerRegion: number
  /** The number of processes that share the runners of a region; one process can serve about ten thousand calls a second. */
  readonly runnerProcesses: number
  readonly workersPerRegion: number
  readonly hostsPerRack: number
  readonly slots: number
  readonly worker: { readonly cores: number, readonly memoryBytes: number, readonly accelerators: number }
  /** Further settings of every process, by section. */
  readonly settings: Readonly<Record<string, Readonly<Record<string, string | number>>>>
  /** Arguments of Node.js for the daemons; by default those in the first line of their scripts in `bin`. */
  readonly nodeArgs: readonly string[]
  /** Puts a TCP forwarder in front of each scheduler, so that a test can cut the links to it. */
  readonly forwardsPeers: boolean
}

export const DEFAULT_CELL: ICellOptions = {
  regions: ['lakes-west', 'lakes-east', 'lakes-north'],
  gatewaysPerRegion: 1,
  schedulersPerRegion: 1,
  runnersPerRegion: 4,
  runnerProcesses: 1,
  workersPerRegion: 4,
  hostsPerRack: 4,
  slots: 8,
  worker: { cores: 64, memoryBytes: 128 * 2 ** 30, accelerators: 2 },
  settings: {},
  nodeArgs: ['--max-semi-space-size=4', '--max-old-space-size=96'],
  forwardsPeers: false
}

const SHARED_KEY = 'a-shared-key-for-tests-only'
export const OPERATOR_TOKEN = 'an-operator-token-for-tests-only'
const READY_TIMEOUT_MS = 20_000
const SPREAD_TIMEOUT_MS = 60_000
const POLL_MS = 50

export interface ICellProcess {
  readonly processId: string
  readonly region: string
  readonly role: 'gateway' | 'scheduler'
  readonly url: string
  readonly operatorUrl: string
  readonly handle: ProcessHandle
}

interface IStandInUrls {
  readonly url: string
  readonly urls: readonly string[]
  readonly controlUrl?: string
}

export class Cell {
  public readonly processes: ICellProcess[] = []
  public readonly hosts: IHostRecord[] = []
  /** The forwarder in front of each scheduler, by process id. */
  public readonly forwarders = new Map<string, TcpForwarder>()
  public storeUrl = ''
  /** Control calls to the store; this listener stays open while the store itself refuses connections. */
  public storeControlUrl = ''
  public hostListUrl = ''
  private readonly _forwardedPorts = new Map<string, number>()
  private readonly _standIns: ProcessHandle[] = []
  private readonly _folder = mkdtempSync(join(tmpdir(), 'jackdawreel-'))

  private constructor (public readonly options: ICellOptions) {}

  /** Starts all processes; resolves when every gateway reports that it is healthy. */
  public static async start (options: Partial<ICellOptions> = {}): Promise<Cell> {
    const cell = new Cell({ ...DEFAULT_CELL, ...options })
    await cell._startPlatform()
    await Promise.all(cell.options.regions.map(async (region) => { await cell._startHosts(region) }))
    await cell._publishHosts()
    const { gatewaysPerRegion, schedulersPerRegion, regions } = cell.options
    for (const region of regions) {
      for (let index = 0; index < schedulersPerRegion; index++) await cell.startDaemon('scheduler', region, `scheduler-${region}-${index}`)
      for (let index = 0; index < gatewaysPerRegion; index++) await cell.startDaemon('gateway', region, `gateway-${region}-${index}`)
    }
    await cell.waitUntilHealthy()
    return cell
  }

  public gateways (): readonly ICellProcess[] {
    return this.processes.filter((process) => process.role === 'gateway' && process.handle.isRunning)
  }

  public schedulers (): readonly ICellProcess[] {
    return this.processes.filter((process) => process.role === 'scheduler' && process.handle.isRunning)
  }

  /** Starts one gateway or scheduler and waits for its ready line. A process of this id that has ended is replaced. */
  public async startDaemon (role: 'gateway' | 'scheduler', region: string, processId: string): Promise<ICellProcess> {
    const file = join(this._folder, `${processId}.ini`)
    const advertise = role === 'scheduler' && this.options.forwardsPeers ? await this._forwardTo(processId) : undefined
    writeFileSync(file, this._settingsText(role, region, processId, advertise))
    const handle = startProcess(`bin/jackdawreel-${role}.js`, ['--config', file], this.options.nodeArgs)
    const { url, operatorUrl } = await handle.ready
    this.forwarders.get(processId)?.retarget(Number(new URL(url).port))
    const process = { processId, region, role, url, operatorUrl: String(operatorUrl), handle }
    const oldIndex = this.processes.findIndex((other) => other.processId === processId)
    if (oldIndex >= 0) this.processes.splice(oldIndex, 1)
    this.processes.push(process)
    return process
  }

  /** Waits until the health check of every running gateway passes. */
  public async waitUntilHealthy (): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS
    for (const gateway of this.gateways()) {
      while (!await isHealthy(gateway.url)) {
        if (performance.now() > untilMs) throw new Error(`${gateway.processId} is not healthy after ${READY_TIMEOUT_MS} ms`)
        await new Promise((resolve) => setTimeout(resolve, POLL_MS))
      }
    }
  }

  /** Waits until the first gateway of each region completes a request; this takes the configuration and an owner of the shard. */
  public async waitUntilServed (service = 'sector-sweep'): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS
    for (const region of this.options.regions) {
      const client = new CallerClient(this.gateways().find((gateway) => gateway.region === region)?.url ?? '', 1)
      for (let number = 0; ; number++) {
        const reply = await client.send({ service, caller: 'warm-up', requestId: `warm-up-${region}-${number}`, idempotent: true })
        if (reply.outcome === 'done') break
        if (performance.now() > untilMs) throw new Error(`${region} does not serve requests: ${reply.status} ${reply.body.toString()}`)
        await new Promise((resolve) => setTimeout(resolve, POLL_MS))
      }
      await client.close()
    }
  }

  /**
   * Waits until every rack is owned by a scheduler of its region. The first scheduler to start owns all racks and hands them
   * over one after the other.
   */
  public async waitUntilSpread (): Promise<void> {
    const untilMs = performance.now() + SPREAD_TIMEOUT_MS
    while (!await this._isSpread()) {
      if (performance.now() > untilMs) throw new Error(`some racks are not owned by a scheduler of their region after ${SPREAD_TIMEOUT_MS} ms`)
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
    }
  }

  public async control (url: string, settings: unknown): Promise<void> {
    const answer = await request(`${url}/control`, { method: 'POST', body: JSON.stringify(settings) })
    await answer.body.dump()
  }

  public async dump<T> (url: string): Promise<T> {
    const answer = await request(`${url}/dump`)
    return await answer.body.json() as T
  }

  /** Stops the daemons by SIGTERM; resolves with the exit code or signal of each, by process id. */
  public async stopDaemons (): Promise<ReadonlyMap<string, number | string>> {
    const ends = new Map<string, number | string>()
    await Promise.all([...this.gateways(), ...this.schedulers()].map(async ({ processId, handle }) => { ends.set(processId, await handle.stop()) }))
    return ends
  }

  /** Kills the processes that are still running and deletes the settings files. */
  public async dispose (): Promise<void> {
    const running = [...this.processes.map((process) => process.handle), ...this._standIns].filter((handle) => handle.isRunning)
    await Promise.all(running.map(async (handle) => await handle.kill()))
    await Promise.all([...this.forwarders.values()].map(async (forwarder) => { await forwarder.close() }))
    rmSync(this._folder, { recursive: true, force: true })
  }

  private async _isSpread (): Promise<boolean> {
    const { records } = await this.dump<{ readonly records: ReadonlyArray<{ readonly key: string, readonly value: string }> }>(this.storeUrl)
    const owners = new Map(records.map(({ key, value }) => [key, (JSON.parse(value) as { readonly owner?: string }).owner]))
    return this.hosts.every((host) => {
      const owner = this.processes.find(({ processId }) => processId === owners.get(`shards/${host.kind}s/${host.rack}`))
      return owner?.region === host.region
    })
  }

  private async _startPlatform (): Promise<void> {
    const store = await this._startStandIn('kv', [])
    this.storeUrl = store.url
    this.storeControlUrl = store.controlUrl ?? ''
    this.hostListUrl = (await this._startStandIn('hostList', ['--lag-ms', '200'])).url
  }

  private async _startHosts (region: string): Promise<void> {
    const { runnersPerRegion, runnerProcesses, workersPerRegion, slots, worker } = this.options
    if (runnersPerRegion > 0) {
      const count = ['--count', String(runnersPerRegion / runnerProcesses), '--slots', String(slots)]
      const starts = Array.from(
        { length: runnerProcesses }, async () => await this._startStandIn('runner', [...count, '--host-id', `runner-${region}`]))
      this._addHosts('runner', region, (await Promise.all(starts)).flatMap(({ urls }) => urls))
    }
    if (workersPerRegion === 0) return
    const capacity = ['--cores', String(worker.cores), '--memory-bytes', String(worker.memoryBytes), '--accelerators', String(worker.accelerators)]
    const workers = await this._startStandIn('worker', ['--count', String(workersPerRegion), '--host-id', `worker-${region}`, ...capacity])
    this._addHosts('worker', region, workers.urls)
  }

  private async _startStandIn (name: string, args: readonly string[]): Promise<IStandInUrls> {
    const handle = startProcess(`test/standins/${name}.js`, args)
    this._standIns.push(handle)
    const { url, urls, controlUrl } = await handle.ready
    return { url, urls: urls ?? [url], ...(typeof controlUrl === 'string' ? { controlUrl } : {}) }
  }

  private _addHosts (kind: 'runner' | 'worker', region: string, urls: readonly string[]): void {
    urls.forEach((url, index) => {
      const suffix = urls.length > 1 ? `-${index}` : ''
      this.hosts.push({
        hostId: `${kind}-${region}${suffix}`,
        kind,
        url,
        region,
        failureDomain: region,
        rack: `${region}-rack-${Math.floor(index / this.options.hostsPerRack)}`,
        state: 'live',
        slots: this.options.slots,
        maxConnections: 60,
        capacity: this.options.worker
      })
    })
  }

  private async _publishHosts (): Promise<void> {
    await this.control(this.hostListUrl, { put: this.hosts })
  }

  /** Returns the port that the scheduler advertises: that of the forwarder in front of it. */
  private async _forwardTo (processId: string): Promise<number> {
    const knownPort = this._forwardedPorts.get(processId)
    if (knownPort !== undefined) return knownPort
    const forwarder = new TcpForwarder(0)
    const port = await forwarder.listen()
    this.forwarders.set(processId, forwarder)
    this._forwardedPorts.set(processId, port)
    return port
  }

  private _settingsText (role: 'gateway' | 'scheduler', region: string, processId: string, advertisePort?: number): string {
    const sections: Record<string, Record<string, string | number>> = {
      process: { id: processId, role, region, failureDomain: region },
      cell: { regions: this.options.regions.join(', ') },
      operator: { listen: '127.0.0.1:0', token: OPERATOR_TOKEN },
      peer: { listen: '127.0.0.1:0', sharedKey: SHARED_KEY, heartbeatMs: 500, silenceMs: 2000 },
      store: { url: this.storeUrl, callTimeoutMs: 1000, leaseTtlMs: 3000 },
      hostList: { url: this.hostListUrl, pollMs: 500 },
      limits: { drainNoticeMs: 500 },
      ids: { idShards: 8, storeWritesPerSecond: 200 }
    }
    const seeds = this.schedulers().map((scheduler) => `${scheduler.processId}@${scheduler.url.slice('ws://'.length)}`)
    if (seeds.length > 0) sections.peer = { ...sections.peer, seeds: seeds.join(', ') }
    if (advertisePort !== undefined) sections.peer = { ...sections.peer, advertise: `127.0.0.1:${advertisePort}` }
    if (role === 'gateway') sections.caller = { listen: '127.0.0.1:0' }
    for (const [name, keys] of Object.entries(this.options.settings)) {
      if (name !== 'caller' || role === 'gateway') sections[name] = { ...sections[name], ...keys }
    }
    return Object.entries(sections).map(([name, keys]) => `[${name}]\n${formatKeys(keys)}\n`).join('\n')
  }
}

function formatKeys (keys: Readonly<Record<string, string | number>>): string {
  return Object.entries(keys).map(([key, value]) => `${key} = ${value}\n`).join('')
}

async function isHealthy (url: string): Promise<boolean> {
  try {
    const answer = await request(`${url}/v1/health`)
    await answer.body.dump()
    return answer.statusCode === 200
  } catch {
    return false
  }
}
