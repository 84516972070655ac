/**
 * Stands in for the platform's list of live and leaving hosts. Changes become visible only after a lag.
 */

import { sendJson } from './StandInServer.js'

import type { IHostRecord } from '../../src/runtime/Types.js'
import type { IExchange, IStandIn } from './StandInServer.js'

interface IVersion { readonly visibleAtMs: number, readonly hosts: ReadonlyMap<string, IHostRecord> }

interface IHostListControl {
  readonly put?: readonly IHostRecord[]
  readonly remove?: readonly string[]
  readonly state?: Readonly<Record<string, IHostRecord['state']>>
  readonly lagMs?: number
  /** While set, every call is answered 503. */
  readonly down?: boolean
}

export class HostListStandIn implements IStandIn {
  private _versions: IVersion[] = [{ visibleAtMs: 0, hosts: new Map() }]
  private _isDown = false
  private _readCount = 0

  public constructor (private _lagMs: number) {}

  public control (settings: Readonly<Record<string, unknown>>): void {
    const request = settings as IHostListControl
    this._lagMs = request.lagMs ?? this._lagMs
    this._isDown = request.down ?? this._isDown
    const hosts = new Map(this._versions.at(-1)?.hosts)
    for (const host of request.put ?? []) hosts.set(host.hostId, host)
    for (const hostId of request.remove ?? []) hosts.delete(hostId)
    for (const [hostId, state] of Object.entries(request.state ?? {})) {
      const host = hosts.get(hostId)
      if (host !== undefined) hosts.set(hostId, { ...host, state })
    }
    this._versions.push({ visibleAtMs: performance.now() + this._lagMs, hosts })
  }

  public dump (): unknown {
    return { hosts: [...(this._versions.at(-1)?.hosts.values() ?? [])], visible: this._visibleHosts(), lagMs: this._lagMs, reads: this._readCount }
  }

  public handle (exchange: IExchange): void {
    this._readCount += 1
    if (this._isDown) sendJson(exchange, 503, { error: 'down' })
    else if (exchange.path === '/hosts') sendJson(exchange, 200, { hosts: this._visibleHosts() })
    else sendJson(exchange, 404, { error: 'no such call' })
  }

  private _visibleHosts (): readonly IHostRecord[] {
    const past = this._versions.filter((version) => version.visibleAtMs <= performance.now())
    this._versions = [...past.slice(-1), ...this._versions.slice(past.length)]
    return [...(this._versions[0]?.hosts.values() ?? [])]
  }
}
