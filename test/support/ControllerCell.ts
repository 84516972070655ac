/**
 * Controllers as real processes on loopback, with the stand-in of the platform. Each controller reaches the store through a TCP
 * forwarder of its own.
 */

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { HOST_HEARTBEAT_MS } from '../../platform/standins/HostRegistration.js'
import { startProcess } from './Processes.js'

import type { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import type { ProcessHandle } from './Processes.js'
import type { TcpForwarder } from './TcpForwarder.js'

/**
 * The addresses on which a controller serves. The operating system assigns new ports at each start of the process: a port that
 * was chosen beforehand may be in use by another process by then.
 */
export interface IControllerUrls {
  readonly callers: string
  readonly readiness: string
  readonly metrics: string
}

export interface IController {
  readonly id: string
  readonly configPath: string
  /** The forwarder between the controller and the store. */
  readonly store: TcpForwarder
  process: ProcessHandle
  /** The output of the processes before the current one. */
  readonly earlierOutput: string[]
  /** Absent until the current process has printed its ready line, and after it has ended. */
  urls: IControllerUrls | undefined
}

/** The packed controller script that is deployed; the path is relative to `dist/`. */
export const PACKED_BINARY = '../target/bin/jackdawreel-controller-packed.cjs'

export class ControllerCell {
  public readonly controllers: IController[] = []
  private readonly _folder = mkdtempSync(join(tmpdir(), 'jackdawreel-'))

  public constructor (
    private readonly _platform: PlatformStandIn,
    private readonly _maxHoldMs: number,
    private readonly _nodeArgs: readonly string[] = [],
    private readonly _binary = 'bin/jackdawreel-controller.js',
    /** The bandwidth that each process believes to have, in turn, in Mbit/s; unlimited if there are none. */
    private readonly _linksMbps: readonly number[] = [],
    /** The memory that each process believes its machine to have, in MB; no limit if absent. */
    private readonly _memoryMb?: number
  ) {}

  public async start (count: number): Promise<void> {
    for (let number = 0; number < count; number += 1) await this._add(number)
    await Promise.all(this.controllers.map(async ({ process }) => await process.ready))
  }

  /** Starts the process again with the same settings. It serves as soon as the store has answered it. */
  public restart (controller: IController): void {
    controller.earlierOutput.push(...controller.process.stdout, ...controller.process.stderr)
    controller.process = startProcess(this._binary, ['--config', controller.configPath])
    trackUrls(controller)
  }

  public async close (): Promise<void> {
    await Promise.all(this.controllers.map(async ({ process, store }) => {
      if (process.isRunning) await process.kill()
      await store.close()
    }))
    rmSync(this._folder, { recursive: true, force: true })
  }

  private async _add (number: number): Promise<void> {
    const id = `controller-${number}`
    const { forwarder, port } = await this._platform.createStoreForwarder()
    const configPath = join(this._folder, `${id}.ini`)
    const linkMbps = this._linksMbps[number % this._linksMbps.length]
    const sizes = { linkMbps, memoryMb: this._memoryMb }
    writeFileSync(configPath, settingsText(id, port, await this._platform.createAdvicePort(), this._maxHoldMs, sizes))
    const process = startProcess(this._binary, ['--config', configPath], this._nodeArgs)
    const controller: IController = { id, configPath, store: forwarder, process, earlierOutput: [], urls: undefined }
    this.controllers.push(controller)
    trackUrls(controller)
  }
}

/** Sets the controller's addresses when its current process prints the ready line, and clears them when the process ends. */
function trackUrls (controller: IController): void {
  const { process } = controller
  controller.urls = undefined
  process.ready.then(({ url, readinessUrl, metricsUrl }) => {
    if (controller.process !== process) return
    controller.urls = { callers: url, readiness: String(readinessUrl), metrics: String(metricsUrl) }
  }, () => {
    // The process ended before it was ready; code that awaits `process.ready` gets the error.
  })
  process.ended.then(() => {
    if (controller.process === process) controller.urls = undefined
  }, () => {})
}

interface IMachineSizes {
  readonly linkMbps: number | undefined
  readonly memoryMb: number | undefined
}

function settingsText (id: string, storePort: number, advicePort: number, maxHoldMs: number, sizes: IMachineSizes): string {
  const machine = Object.entries(sizes).flatMap(([name, value]) => value === undefined ? [] : [`\n${name} = ${value}`]).join('')
  return `[process]
id = ${id}
region = region-a
failureDomain = zone-a
processorShare = 1
processorSpeed = 1${machine}
[callers]
listen = 127.0.0.1:0
[readiness]
listen = 127.0.0.1:0
[peer]
listen = 127.0.0.1:0
[metrics]
listen = 127.0.0.1:0
[store]
address = 127.0.0.1:${storePort}
minLeaseMs = 1000
[advice]
address = 127.0.0.1:${advicePort}
[hosts]
maxHoldMs = ${maxHoldMs}
heartbeatMs = ${HOST_HEARTBEAT_MS}
farFactor = 2
statusMs = 120000
stopGraceMs = 200
[stop]
graceMs = 6000
[log]
level = info
maxLinesPerSecond = 200
`
}
