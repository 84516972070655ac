/**
 * Calls and casts to schedulers by process id. Those to this process go directly to the handler, without a link.
 */

import { ResultAsync, errAsync, okAsync } from 'neverthrow'

import { AmbiguousError, UnreachableError } from '../../common/Errors.js'

import type { IPeerCalls, IPeerCasts, PeerCallName } from '../../common/protocol/Types.js'
import type { IClock, IDisposable, IProcessIdentity } from '../../common/Types.js'
import type { IPeerHub, PeerError } from '../../peer/Types.js'
import type { IJobPeers } from './Types.js'

/**
 * Longer than the interval between heartbeats, and shorter than the leases that must lapse before a silent process is
 * replaced, by more than the possible drift of clocks.
 */
const RECENT_CONTACT_MS = 2000

type Handler<N extends PeerCallName> = (request: IPeerCalls[N]['request']) => IPeerCalls[N]['reply'] | Promise<IPeerCalls[N]['reply']>
type UpdateListener = (cast: IPeerCasts['taskUpdate'], from: string) => void

export class JobPeers implements IJobPeers {
  private readonly _handlers: { [N in PeerCallName]?: Handler<N> } = {}
  private _updateListener: UpdateListener = () => {}

  public constructor (private readonly _hub: IPeerHub, private readonly _clock: IClock) {}

  public get self (): IProcessIdentity {
    return this._hub.self
  }

  /** Registers the handler of a call, from peers and from this process. */
  public handle<N extends PeerCallName> (name: N, handler: Handler<N>): void {
    Object.assign(this._handlers, { [name]: handler })
    this._hub.handle(name, async (request) => await handler(request))
  }

  public listen (listener: UpdateListener): IDisposable {
    this._updateListener = listener
    return this._hub.listen('taskUpdate', (cast, from) => { listener(cast, from.processId) })
  }

  public processIds (): readonly string[] {
    return [this.self.processId, ...this._hub.links().map((link) => link.peer.processId)]
  }

  public hasRecentContact (processId: string): boolean {
    if (processId === this.self.processId) return true
    const link = this._hub.link(processId)
    return link !== undefined && this._clock.nowMs() - link.lastReceivedMs <= RECENT_CONTACT_MS
  }

  public call<N extends PeerCallName> (
    processId: string, name: N, request: IPeerCalls[N]['request'], timeoutMs: number
  ): ResultAsync<IPeerCalls[N]['reply'], PeerError> {
    if (processId === this.self.processId) return this._callSelf(name, request)
    const link = this._hub.link(processId)
    if (link === undefined) return errAsync(new UnreachableError(`peer.${name}`, processId, 'no link'))
    return link.call(name, request, timeoutMs)
  }

  public cast (processId: string, name: 'taskUpdate', cast: IPeerCasts['taskUpdate']): void {
    if (processId === this.self.processId) queueMicrotask(() => { this._updateListener(cast, processId) })
    else this._hub.link(processId)?.cast(name, cast)
  }

  public onLost (listener: (peer: IProcessIdentity) => void): IDisposable {
    return this._hub.onLost(listener)
  }

  private _callSelf<N extends PeerCallName> (name: N, request: IPeerCalls[N]['request']): ResultAsync<IPeerCalls[N]['reply'], PeerError> {
    const handler: Handler<N> | undefined = this._handlers[name]
    if (handler === undefined) return errAsync(new UnreachableError(`peer.${name}`, this.self.processId, 'no handler'))
    return okAsync(request).andThen((received) => ResultAsync.fromPromise(
      Promise.resolve(handler(received)),
      (cause) => new AmbiguousError(`peer.${name}`, this.self.processId, 'the handler broke off', { cause })))
  }
}
