/**
 * Controllers as real processes beside the stand-in of the platform, on loopback, each with its own way to the store.
 */

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startProcess } from './Processes.js'

import type { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import type { ProcessHandle } from './Processes.js'
import type { TcpForwarder } from './TcpForwarder.js'

/** Where a controller serves. Each life draws its own ports: one that was chosen beforehand may be somebody else's by then. */
export interface IControllerUrls {
  readonly callers: string
  readonly readiness: string
  readonly metrics: string
}

export interface IController {
  readonly id: string
  readonly configPath: string
  /** Its way to the store. */
  readonly store: TcpForwarder
  process: ProcessHandle
  /** Absent until this life of the process serves. */
  urls: IControllerUrls | undefined
}

/** The controller as it is deployed, seen from `dist/`. */
export const PACKED_BINARY = '../target/bin/jackdawreel-controller-packed.cjs'

export class ControllerCell {
  public readonly controllers: IController[] = []
  private readonly _folder = mkdtempSync(join(tmpdir(), 'jackdawreel-'))

  public constructor (
    private readonly _platform: PlatformStandIn,
    private readonly _maxHoldMs: number,
    private readonly _nodeArgs: readonly string[] = [],
    private readonly _binary = 'bin/jackdawreel-controller.js'
  ) {}

  public async start (count: number): Promise<void> {
    for (let number = 0; number < count; number += 1) await this._add(number)
    await Promise.all(this.controllers.map(async ({ process }) => await process.ready))
  }

  /** Starts the process again, with the settings that it had. It serves once it has an answer of the store. */
  public restart (controller: IController): void {
    controller.process = startProcess(this._binary, ['--config', controller.configPath])
    followReady(controller)
  }

  public async close (): Promise<void> {
    await Promise.all(this.controllers.map(async ({ process, store }) => {
      if (process.running) await process.kill()
      await store.close()
    }))
    rmSync(this._folder, { recursive: true, force: true })
  }

  private async _add (number: number): Promise<void> {
    const id = `controller-${number}`
    const { forwarder, port } = await this._platform.createStoreForwarder()
    const configPath = join(this._folder, `${id}.ini`)
    writeFileSync(configPath, settings(id, port, this._platform.advicePort, this._maxHoldMs))
    const process = startProcess(this._binary, ['--config', configPath], this._nodeArgs)
    const controller: IController = { id, configPath, store: forwarder, process, urls: undefined }
    this.controllers.push(controller)
    followReady(controller)
  }
}

/** Takes the addresses of the process that the controller has now, for as long as it runs. */
function followReady (controller: IController): void {
  const { process } = controller
  controller.urls = undefined
  process.ready.then(({ url, readinessUrl, metricsUrl }) => {
    if (controller.process !== process) return
    controller.urls = { callers: url, readiness: String(readinessUrl), metrics: String(metricsUrl) }
  }, () => {
    // It ended first: whoever waits for it reads why from its own `ready`.
  })
  process.ended.then(() => {
    if (controller.process === process) controller.urls = undefined
  }, () => {})
}

function settings (id: string, storePort: number, advicePort: number, maxHoldMs: number): string {
  return `[process]
id = ${id}
region = region-a
failureDomain = zone-a
processorShare = 1
processorSpeed = 1
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
