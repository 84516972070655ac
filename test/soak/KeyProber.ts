/**
 * Calls the controllers of a soak with keys that must not be accepted: one that no configuration ever had, and the one that was removed
 * last. A process that has refused a removed key must not accept it again.
 */

import { Agent, request } from 'undici'
import { CALLER_HOST, QUEUE_PREFIXES } from '../../platform/standins/PlatformStandIn.js'

import type { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import type { IController } from '../support/ControllerCell.js'
import type { ProcessHandle } from '../support/Processes.js'
import type { InvariantChecker } from './InvariantChecker.js'

const PROBE_INTERVAL_MS = 300
const TIMEOUT_MS = 2000
const NEVER_A_KEY = 'no-configuration-has-this-key'
const STATUS_OK = 200
const STATUS_UNAUTHORIZED = 401

export class KeyProber {
  private readonly _agent = new Agent({ keepAliveTimeout: 60_000, connections: 1 })
  /** The removed keys that each process has refused since it started. */
  private readonly _refused = new Map<ProcessHandle, Set<string>>()
  private _timer: NodeJS.Timeout | undefined

  public constructor (
    private readonly _controllers: readonly IController[], private readonly _platform: PlatformStandIn, private readonly _checker: InvariantChecker
  ) {}

  public start (): void {
    this._timer = setInterval(() => {
      for (const controller of this._controllers) {
        this._probe(controller).catch((error: unknown) => { this._checker.violations.push(`key probe: ${String(error)}`) })
      }
    }, PROBE_INTERVAL_MS)
  }

  public async close (): Promise<void> {
    clearInterval(this._timer)
    await this._agent.destroy()
  }

  /** Reports the controllers that accept a removed key, although the faults have ended. */
  public async checkRemovedKeys (): Promise<void> {
    const key = this._platform.lastRemovedKey
    if (key === undefined) return
    for (const controller of this._controllers) {
      if (await this._status(controller, key) === STATUS_OK) this._checker.violations.push(`${controller.id} accepts a removed key after the faults have ended`)
    }
  }

  private async _probe (controller: IController): Promise<void> {
    const { id, process } = controller
    if (await this._status(controller, NEVER_A_KEY) === STATUS_OK) this._checker.violations.push(`${id} accepts a key that no configuration ever had`)
    const key = this._platform.lastRemovedKey
    if (key === undefined) return
    const refused = this._refused.get(process) ?? new Set<string>()
    this._refused.set(process, refused)
    const wasRefused = refused.has(key)
    const status = await this._status(controller, key)
    if (status === STATUS_UNAUTHORIZED) refused.add(key)
    if (status === STATUS_OK && wasRefused) this._checker.violations.push(`${id} accepts a removed key again`)
  }

  /** The HTTP status for a call with the key; undefined if no complete answer arrives. */
  private async _status ({ urls }: IController, key: string): Promise<number | undefined> {
    if (urls === undefined) return undefined
    try {
      const answer = await request(urls.callers + QUEUE_PREFIXES.batch, {
        method: 'GET',
        dispatcher: this._agent,
        headers: { host: CALLER_HOST, 'x-jackdawreel-credential': key },
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS
      })
      await answer.body.dump()
      return answer.statusCode
    } catch {
      return undefined
    }
  }
}
