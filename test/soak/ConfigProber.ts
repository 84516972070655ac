/**
 * Finds out which version of the configuration each controller of a soak serves: each version adds a queue, and the probes request
 * these queues. The checker then verifies that no process goes back to an older version while it runs, and that every process has
 * the newest version in the end.
 */

import { Agent, request } from 'undici'
import { CALLER_HOST, probePrefix } from '../../platform/standins/PlatformStandIn.js'

import type { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import type { IController } from '../support/ControllerCell.js'
import type { ProcessHandle } from '../support/Processes.js'
import type { InvariantChecker } from './InvariantChecker.js'

const PROBE_INTERVAL_MS = 250
const TIMEOUT_MS = 2000
const STATUS_OK = 200
const STATUS_NOT_FOUND = 404

export class ConfigProber {
  private readonly _agent = new Agent({ keepAliveTimeout: 60_000, connections: 1 })
  /** The newest version that each process has served since it started. */
  private readonly _served = new Map<ProcessHandle, number>()
  private _timer: NodeJS.Timeout | undefined

  public constructor (
    private readonly _controllers: readonly IController[], private readonly _platform: PlatformStandIn, private readonly _checker: InvariantChecker
  ) {}

  public start (): void {
    this._timer = setInterval(() => {
      for (const controller of this._controllers) {
        this._probe(controller).catch((error: unknown) => { this._checker.violations.push(`probe: ${String(error)}`) })
      }
    }, PROBE_INTERVAL_MS)
  }

  public async close (): Promise<void> {
    clearInterval(this._timer)
    await this._agent.destroy()
  }

  /** The ids of the controllers that don't serve the newest version now. */
  public async outdatedControllers (): Promise<readonly string[]> {
    await Promise.all(this._controllers.map(async (controller) => { await this._probe(controller) }))
    return this._controllers.filter(({ process }) => this._served.get(process) !== this._platform.configVersion).map(({ id }) => id)
  }

  private async _probe (controller: IController): Promise<void> {
    const { id, process } = controller
    const version = this._platform.configVersion
    const served = this._served.get(process)
    if (served !== undefined && await this._probeStatus(controller, served) === STATUS_NOT_FOUND) this._checker.reportConfigRollback(id, served)
    if (await this._probeStatus(controller, version) === STATUS_OK) this._served.set(process, Math.max(version, this._served.get(process) ?? 0))
  }

  /** Requests the queue that this version added and returns the HTTP status; undefined if no complete answer arrives. */
  private async _probeStatus ({ urls }: IController, version: number): Promise<number | undefined> {
    if (urls === undefined) return undefined
    try {
      const answer = await request(urls.callers + probePrefix(version), {
        method: 'GET', dispatcher: this._agent, headers: { host: CALLER_HOST }, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS
      })
      await answer.body.dump()
      return answer.statusCode
    } catch {
      return undefined
    }
  }
}
