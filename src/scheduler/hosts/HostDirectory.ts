/**
 * Follows the platform's host list by polling it.
 */

import { Emitter } from '../../common/Emitter.js'

import type { ILogger } from '../../common/observability/Types.js'
import type { IDisposable, ITimers } from '../../common/Types.js'
import type { IHostList, IHostRecord } from '../../runtime/Types.js'
import type { IHostDirectory } from './Types.js'

export class HostDirectory implements IHostDirectory, IDisposable {
  private readonly _onChange = new Emitter<readonly IHostRecord[]>()
  public readonly onChange = this._onChange.event
  private _hosts: readonly IHostRecord[] = []
  private _listed: readonly IHostRecord[] = []
  private readonly _drained = new Set<string>()
  private _fingerprint = ''
  private _timer: IDisposable | undefined
  private _polling = false

  public constructor (
    private readonly _list: IHostList,
    private readonly _timers: ITimers,
    private readonly _pollMs: number,
    private readonly _log: ILogger
  ) {}

  public get hosts (): readonly IHostRecord[] {
    return this._hosts
  }

  public start (): void {
    this._timer = this._timers.every(this._pollMs, () => { this.poll() })
    this.poll()
  }

  public dispose (): void {
    this._timer?.dispose()
    this._onChange.dispose()
  }

  /** An operator takes a host out of use here: it counts as leaving, whatever the list says. */
  public drain (hostId: string): void {
    this._drained.add(hostId)
    this._take(this._listed)
  }

  /** One poll; a slow answer is not overtaken by the next poll. */
  public async poll (): Promise<void> {
    if (this._polling) return
    this._polling = true
    const listed = await this._list.list()
    this._polling = false
    listed.match((hosts) => this._take(hosts), (error) => this._log.warn('hostList.unavailable', { step: error.step, peer: error.peer }))
  }

  private _take (listed: readonly IHostRecord[]): void {
    this._listed = listed
    const hosts = listed.map((host) => this._drained.has(host.hostId) && host.state === 'live' ? { ...host, state: 'leaving' as const } : host)
    const fingerprint = JSON.stringify(hosts)
    if (fingerprint === this._fingerprint) return
    this._fingerprint = fingerprint
    this._hosts = hosts
    this._onChange.fire(hosts)
  }
}
