/**
 * A cell of two controllers and its platform, for crowds: the first controller has the sizes of a small machine and a small heap, and the
 * crowd calls it.
 */

import { request } from 'undici'
import { CALLER_HOST, PlatformStandIn, QUEUE_PREFIXES } from '../../platform/standins/PlatformStandIn.js'
import { MEMBER_PREFIX } from '../../src/cell/Keys.js'
import { ControllerCell, PACKED_BINARY } from '../support/ControllerCell.js'
import { eventually } from '../support/Eventually.js'
import { startProcess } from '../support/Processes.js'
import { openDescriptors, peakResidentBytes, residentBytes, unreadBytes } from '../support/ProcessStats.js'
import { CROWDS } from './Crowds.js'
import { MAX_DESCRIPTORS, MEMORY_MB, smallJob } from './Sizes.js'

import type { ExecutionContext } from 'ava'
import type { IHostEvents } from '../../platform/standins/HostStandIn.js'
import type { IController } from '../support/ControllerCell.js'
import type { ControllerPort, CrowdName } from './Crowds.js'

/** A smaller heap than that of the deployed command, so that a small crowd shows what fills it. */
const HEAP_MB = 64
const MAX_HOLD_MS = 4000
const HOSTS = 4
const HOST_CPU = 4000
/** How long a crowd presses, in ms. */
const PRESS_MS = 10_000
const SAMPLE_MS = 100
const BYTES_PER_MB = 1_000_000
const PORTS = ['callers', 'readiness', 'metrics', 'peer'] as const

const IGNORED_EVENTS: IHostEvents = { onStart () {}, onEnd () {}, onLateOrder () {}, onAcknowledged () {}, onLapse () {}, onListLost () {} }

export class CrowdedCell {
  private _peakBytes = 0
  private _peakDescriptors = 0
  private _nextJob = 0

  private constructor (
    private readonly _t: ExecutionContext, private readonly _platform: PlatformStandIn, private readonly _controller: IController
  ) {}

  public static async start (t: ExecutionContext): Promise<CrowdedCell> {
    const platform = new PlatformStandIn({ seed: 1, hosts: HOSTS, hostCpu: HOST_CPU, maxHoldMs: MAX_HOLD_MS, failShare: 0 })
    await platform.start(IGNORED_EVENTS)
    const cell = new ControllerCell(platform, MAX_HOLD_MS, [`--max-old-space-size=${HEAP_MB}`, '--max-semi-space-size=8'], PACKED_BINARY, [], MEMORY_MB)
    t.teardown(async () => {
      await cell.close()
      await platform.close()
    })
    await cell.start(2)
    const [controller] = cell.controllers
    if (controller === undefined) throw new Error('the cell has no controller')
    const crowded = new CrowdedCell(t, platform, controller)
    await crowded.submitOrdinaryJob()
    return crowded
  }

  public url (port: ControllerPort): string {
    if (port !== 'peer') return this._controller.urls?.[port] ?? ''
    const record = this._platform.store.read(MEMBER_PREFIX + this._controller.id) ?? '{}'
    return (JSON.parse(record) as { readonly peerUrl?: string }).peerUrl ?? ''
  }

  /** An id that no job has had. */
  public newJobId (): string {
    this._nextJob += 1
    return this._nextJob.toString(16).padStart(16, '0')
  }

  /** An ordinary caller submits a job, again after a refusal, and asks for its state. Its requests are answered. */
  public async submitOrdinaryJob (): Promise<void> {
    const url = `${this.url('callers')}${QUEUE_PREFIXES.urgent}${this.newJobId()}`
    const headers = { host: CALLER_HOST, 'x-jackdawreel-deadline': '3000' }
    const call = async (method: 'GET' | 'POST', body?: string): Promise<boolean> => {
      const answer = await request(url, { method, headers, reset: true, ...(body === undefined ? {} : { body }) })
      await answer.body.dump()
      return answer.statusCode === 200
    }
    await eventually('an ordinary job is accepted', async () => await call('POST', smallJob()).catch(() => this._whileRunning()))
    await eventually('its state is known', async () => await call('GET').catch(() => this._whileRunning()))
  }

  /**
   * Lets a crowd press on the first controller. Checks that its process lives and keeps within its machine, and that an ordinary caller is
   * served while the crowd stays and after it has left.
   */
  public async press (name: CrowdName): Promise<void> {
    const t = this._t
    const { port, clients } = CROWDS[name]
    const crowd = startProcess('test/crowds/runCrowd.js', [name, this.url(port)])
    t.teardown(async () => { if (crowd.isRunning) await crowd.kill() })
    await crowd.ready
    const untilMs = performance.now() + PRESS_MS
    while (performance.now() < untilMs && this._sample()) await new Promise((resolve) => { setTimeout(resolve, SAMPLE_MS) })
    t.log(`${clients} clients: at most ${Math.round(this._peakBytes / BYTES_PER_MB)} MB and ${this._peakDescriptors} descriptors, ${this._stateOfProcess()}`)
    this._check()
    await this.submitOrdinaryJob()
    await crowd.kill()
    await this.submitOrdinaryJob()
    this._sample()
    this._check()
  }

  private _check (): void {
    const { process } = this._controller
    this._t.true(process.isRunning, `the process has ended: ${process.stderr.filter((line) => line.includes('FATAL')).join()}`)
    this._t.true(this._peakBytes <= MEMORY_MB * BYTES_PER_MB, `${this._peakBytes} bytes of memory`)
    this._t.true(this._peakDescriptors <= MAX_DESCRIPTORS, `${this._peakDescriptors} descriptors`)
  }

  /** Records the memory of the process, with what it hasn't read yet, and its descriptors. False if the process has ended. */
  private _sample (): boolean {
    const { process } = this._controller
    if (!process.isRunning) return false
    const ports = new Set(PORTS.map((port) => Number(new URL(this.url(port)).port)))
    const bytes = Math.max(peakResidentBytes(process.pid), residentBytes(process.pid) + unreadBytes(ports))
    // A process that is ending has no memory any more.
    if (Number.isNaN(bytes)) return false
    this._peakBytes = Math.max(this._peakBytes, bytes)
    this._peakDescriptors = Math.max(this._peakDescriptors, openDescriptors(process.pid))
    return true
  }

  private _stateOfProcess (): string {
    return this._controller.process.isRunning ? 'the process lives' : 'the process has ended'
  }

  private _whileRunning (): false {
    if (this._controller.process.isRunning) return false
    throw new Error('the process has ended')
  }
}
