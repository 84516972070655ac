/**
 * Asks each controller of a soak for the queues that versions of the configuration add, and has the judge check that no
 * life of a process goes back to an older version, and that all have the newest one in the end.
 */

import { Agent, request } from 'undici'
import { CALLER_HOST, probePrefix } from '../../platform/standins/PlatformStandIn.js'

import type { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import type { IController } from '../support/ControllerCell.js'
import type { ProcessHandle } from '../support/Processes.js'
import type { Judge } from './Judge.js'

const PROBE_EVERY_MS = 250
const TIMEOUT_MS = 2000
const STATUS_OK = 200
const STATUS_NOT_FOUND = 404

export class ConfigProbes {
  private readonly _agent = new Agent({ keepAliveTimeout: 60_000, connections: 1 })
  /** The newest version that each life of a process has shown. */
  private readonly _shown = new Map<ProcessHandle, number>()
  private _timer: NodeJS.Timeout | undefined

  public constructor (
    private readonly _controllers: readonly IController[], private readonly _platform: PlatformStandIn, private readonly _judge: Judge
  ) {}

  public start (): void {
    this._timer = setInterval(() => {
      for (const controller of this._controllers) {
        this._probe(controller).catch((error: unknown) => { this._judge.violations.push(`probe: ${String(error)}`) })
      }
    }, PROBE_EVERY_MS)
  }

  public async close (): Promise<void> {
    clearInterval(this._timer)
    await this._agent.destroy()
  }

  /** Controllers that don't serve the newest version now. */
  public async behind (): Promise<readonly string[]> {
    await Promise.all(this._controllers.map(async (controller) => { await this._probe(controller) }))
    return this._controllers.filter(({ process }) => this._shown.get(process) !== this._platform.configVersion).map(({ id }) => id)
  }

  private async _probe (controller: IController): Promise<void> {
    const { id, process } = controller
    const version = this._platform.configVersion
    const shown = this._shown.get(process)
    if (shown !== undefined && await this._ask(controller, shown) === STATUS_NOT_FOUND) this._judge.noteOlderConfig(id, shown)
    if (await this._ask(controller, version) === STATUS_OK) this._shown.set(process, Math.max(version, this._shown.get(process) ?? 0))
  }

  /** The status; absent where this life of the process gave no whole answer. */
  private async _ask ({ urls }: IController, version: number): Promise<number | undefined> {
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
