/**
 * Controllers as real processes beside the stand-in of the platform, on loopback, each with its own way to the store.
 */

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { startProcess } from './Processes.js'

import type { AddressInfo } from 'node:net'
import type { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import type { ProcessHandle } from './Processes.js'
import type { TcpForwarder } from './TcpForwarder.js'

export interface IController {
  readonly id: string
  readonly configPath: string
  readonly callerPort: number
  readonly metricsPort: number
  readonly readinessPort: number
  /** Its way to the store. */
  readonly store: TcpForwarder
  process: ProcessHandle
}

/** The controller as it is deployed, seen from `dist/`. */
export const PACKED_BINARY = '../target/bin/jackdawreel-controller-packed.js'

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

  /** Starts the process again, with the settings that it had. */
  public restart (controller: IController): void {
    controller.process = startProcess(this._binary, ['--config', controller.configPath])
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
    const [callerPort = 0, readinessPort = 0, peerPort = 0, metricsPort = 0] = await freePorts(4)
    const { forwarder, port } = await this._platform.storeForwarder()
    const configPath = join(this._folder, `${id}.ini`)
    writeFileSync(configPath, settings(id, { callerPort, readinessPort, peerPort, metricsPort }, port, this._platform.advicePort, this._maxHoldMs))
    const process = startProcess(this._binary, ['--config', configPath], this._nodeArgs)
    this.controllers.push({ id, configPath, callerPort, metricsPort, readinessPort, store: forwarder, process })
  }
}

interface IPorts { readonly callerPort: number, readonly readinessPort: number, readonly peerPort: number, readonly metricsPort: number }

function settings (id: string, ports: IPorts, storePort: number, advicePort: number, maxHoldMs: number): string {
  return `[process]
id = ${id}
region = region-a
failureDomain = zone-a
processorShare = 1
processorSpeed = 1
[callers]
listen = 127.0.0.1:${ports.callerPort}
[readiness]
listen = 127.0.0.1:${ports.readinessPort}
[peer]
listen = 127.0.0.1:${ports.peerPort}
[metrics]
listen = 127.0.0.1:${ports.metricsPort}
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

/** Ports that are free now; held together while they are drawn, so that they differ. */
async function freePorts (count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer()
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return server
  }))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(async (server) => { await new Promise<void>((resolve) => { server.close(() => { resolve() }) }) }))
  return ports
}
