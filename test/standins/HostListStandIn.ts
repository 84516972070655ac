/**
 * Stands in for the platform's list of live and leaving hosts, which tells changes only after a lag.
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
  /** Answers nothing but 503 while set. */
  readonly down?: boolean
}

export class HostListStandIn implements IStandIn {
  private _versions: IVersion[] = [{ visibleAtMs: 0, hosts: new Map() }]
  private _down = false
  private _reads = 0

  public constructor (private _lagMs: number) {}

  public control (settings: Readonly<Record<string, unknown>>): void {
    const ask = settings as IHostListControl
    this._lagMs = ask.lagMs ?? this._lagMs
    this._down = ask.down ?? this._down
    const hosts = new Map(this._versions.at(-1)?.hosts)
    for (const host of ask.put ?? []) hosts.set(host.hostId, host)
    for (const hostId of ask.remove ?? []) hosts.delete(hostId)
    for (const [hostId, state] of Object.entries(ask.state ?? {})) {
      const host = hosts.get(hostId)
      if (host !== undefined) hosts.set(hostId, { ...host, state })
    }
    this._versions.push({ visibleAtMs: performance.now() + this._lagMs, hosts })
  }

  public dump (): unknown {
    return { hosts: [...(this._versions.at(-1)?.hosts.values() ?? [])], visible: this._visible(), lagMs: this._lagMs, reads: this._reads }
  }

  public handle (exchange: IExchange): void {
    this._reads += 1
    if (this._down) sendJson(exchange, 503, { error: 'down' })
    else if (exchange.path === '/hosts') sendJson(exchange, 200, { hosts: this._visible() })
    else sendJson(exchange, 404, { error: 'no such call' })
  }

  private _visible (): readonly IHostRecord[] {
    const past = this._versions.filter((version) => version.visibleAtMs <= performance.now())
    this._versions = [...past.slice(-1), ...this._versions.slice(past.length)]
    return [...(this._versions[0]?.hosts.values() ?? [])]
  }
}
