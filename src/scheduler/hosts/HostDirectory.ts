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
  private readonly _drainedHostIds = new Set<string>()
  private _fingerprint = ''
  private _timer: IDisposable | undefined
  private _isPolling = false

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

  /** Drains a host at an operator's request: a live host counts as leaving from now on. */
  public drainHost (hostId: string): void {
    this._drainedHostIds.add(hostId)
    this._applyList(this._listed)
  }

  /** Polls the list once; does nothing while an earlier poll is still unanswered. */
  public async poll (): Promise<void> {
    if (this._isPolling) return
    this._isPolling = true
    const listed = await this._list.list()
    this._isPolling = false
    listed.match((hosts) => this._applyList(hosts), (error) => this._log.warn('hostList.unavailable', { step: error.step, peer: error.peer }))
  }

  private _applyList (listed: readonly IHostRecord[]): void {
    this._listed = listed
    const hosts = listed.map((host) => this._drainedHostIds.has(host.hostId) && host.state === 'live' ? { ...host, state: 'leaving' as const } : host)
    const fingerprint = JSON.stringify(hosts)
    if (fingerprint === this._fingerprint) return
    this._fingerprint = fingerprint
    this._hosts = hosts
    this._onChange.fire(hosts)
  }
}
