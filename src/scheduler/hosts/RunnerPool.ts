/**
 * The runners of all owned shards: keeps the decision engine's picture of them true through takeovers, silence,
 * leaving and attempts whose end nobody saw.
 */

import { Emitter } from '../../common/Emitter.js'
import { RunnerSession } from './RunnerSession.js'
import { shardOfHost } from './Types.js'

import type { ILogger } from '../../common/observability/Types.js'
import type { IDecisionEngine, IWorkItem } from '../../common/policy/Types.js'
import type { IClock, IDisposable, ITimers } from '../../common/Types.js'
import type { IFence, IHostRecord, IRunnerClient, IRunnerStatus } from '../../runtime/Types.js'
import type { IRunnerSessionEvents } from './RunnerSession.js'
import type { IHostDirectory, IOwnedShard, IShardEvents } from './Types.js'

/** An attempt whose end was not seen counts as over after it is missing from two statuses: one may have been on its way. */
const STATUSES_WITHOUT_ATTEMPT = 2
/** Stands in the place of work that another owner dispatched and that still runs. */
const ADOPTED_PREFIX = 'adopted/'

interface IUnsettled {
  readonly itemId: string
  readonly attemptId: string
  missing: number
}

export interface IRunnerPoolContext {
  readonly engine: IDecisionEngine
  readonly client: IRunnerClient
  readonly directory: IHostDirectory
  readonly shards: IShardEvents
  readonly clock: IClock
  readonly timers: ITimers
  readonly log: ILogger
  /** The item that stands for an adopted attempt. */
  readonly adoptedItem: (itemId: string, nowMs: number) => IWorkItem
}

export class RunnerPool implements IRunnerSessionEvents, IDisposable {
  private readonly _onChange = new Emitter<void>()
  /** Places have become free, or hosts have gone: there may be something to decide. */
  public readonly onChange = this._onChange.event
  private readonly _owned = new Map<string, IOwnedShard>()
  private readonly _sessions = new Map<string, RunnerSession>()
  private readonly _unsettled = new Map<string, IUnsettled[]>()

  public constructor (private readonly _context: IRunnerPoolContext) {
    _context.directory.onChange(() => this._refresh())
    _context.shards.onAcquired((shard) => this._acquired(shard))
    _context.shards.onLost((shard) => this._lost(shard))
  }

  public dispose (): void {
    for (const session of this._sessions.values()) session.dispose()
    this._sessions.clear()
  }

  /** The host and the fence to dispatch with; nothing when the host is no longer ours. */
  public target (hostId: string): { readonly host: IHostRecord, readonly fence: IFence } | undefined {
    const session = this._sessions.get(hostId)
    return session === undefined ? undefined : { host: session.host, fence: session.fence }
  }

  /**
   * Holds the slot of an attempt whose end is not known until the runner's own status no longer lists it.
   *
   * A call that was cut or timed out may go on at the runner. Counting its slot as free at once would oversubscribe
   * the runner: one sees it refuse calls, or run more than its slots.
   */
  public settleLater (hostId: string, itemId: string, attemptId: string): void {
    const session = this._sessions.get(hostId)
    if (session === undefined) return
    this._add(hostId, { itemId, attemptId, missing: 0 })
    session.setUnsettled(true)
  }

  /** The runner refused because it leaves. */
  public noteLeaving (hostId: string): void {
    this._sessions.get(hostId)?.noteLeaving()
  }

  /** A runner answered with a newer epoch. */
  public noteFenced (hostId: string, currentEpoch: number): void {
    const session = this._sessions.get(hostId)
    if (session !== undefined) this.onFenced(session, currentEpoch)
  }

  public onStatus (session: RunnerSession, status: IRunnerStatus): void {
    if (session.state === 'unfenced') this._adopt(session, status)
    this._settle(session, status)
  }

  public onStateChange (session: RunnerSession): void {
    this._putHost(session)
    this._onChange.fire()
  }

  public onFenced (session: RunnerSession, currentEpoch: number): void {
    this._context.shards.noteFenced(session.fence.shardId, currentEpoch)
  }

  public dump (): readonly Readonly<Record<string, unknown>>[] {
    return [...this._sessions.values()].map((session) => ({
      hostId: session.host.hostId,
      shardId: session.fence.shardId,
      epoch: session.fence.epoch,
      state: session.state,
      unsettled: this._unsettled.get(session.host.hostId)?.length ?? 0
    }))
  }

  private _acquired (shard: IOwnedShard): void {
    if (!shard.shardId.startsWith('runners/')) return
    this._lost(shard)
    this._owned.set(shard.shardId, shard)
    this._refresh()
  }

  private _lost (shard: IOwnedShard): void {
    this._owned.delete(shard.shardId)
    for (const session of [...this._sessions.values()]) {
      if (session.fence.shardId === shard.shardId) this._drop(session)
    }
  }

  private _refresh (): void {
    const listed = new Set<string>()
    for (const host of this._context.directory.hosts) {
      if (host.kind !== 'runner' || host.state === 'gone') continue
      listed.add(host.hostId)
      this._see(host)
    }
    for (const session of [...this._sessions.values()]) {
      if (!listed.has(session.host.hostId)) this._drop(session)
    }
  }

  private _see (host: IHostRecord): void {
    const owned = this._owned.get(shardOfHost(host))
    const session = this._sessions.get(host.hostId)
    if (owned === undefined) return
    if (session !== undefined) {
      session.update(host)
      return
    }
    const created = new RunnerSession(host, owned, this._context.client, this._context.timers, this._context.log, this)
    this._sessions.set(host.hostId, created)
    this._putHost(created)
    created.start()
  }

  private _drop (session: RunnerSession): void {
    session.dispose()
    this._sessions.delete(session.host.hostId)
    this._unsettled.delete(session.host.hostId)
    this._context.engine.removeHost(session.host.hostId)
    this._context.client.forget(session.host.hostId)
    this._onChange.fire()
  }

  private _putHost (session: RunnerSession): void {
    const { host } = session
    this._context.engine.putHost({
      hostId: host.hostId,
      shardId: session.fence.shardId,
      region: host.region,
      failureDomain: host.failureDomain,
      capacity: { cores: host.slots, memoryBytes: 0, accelerators: 0 },
      accepting: session.state === 'ready'
    })
  }

  private _adopt (session: RunnerSession, status: IRunnerStatus): void {
    for (const attemptId of status.attemptIds) {
      const itemId = `${ADOPTED_PREFIX}${attemptId}`
      this._context.engine.adopt(this._context.adoptedItem(itemId, this._context.clock.nowMs()), session.host.hostId)
      this._add(session.host.hostId, { itemId, attemptId, missing: 0 })
    }
    if (status.attemptIds.length > 0) session.setUnsettled(true)
  }

  private _settle (session: RunnerSession, status: IRunnerStatus): void {
    const entries = this._unsettled.get(session.host.hostId)
    if (entries === undefined) return
    const running = new Set(status.attemptIds)
    const left = entries.filter((entry) => !this._isOver(entry, running))
    if (left.length > 0) this._unsettled.set(session.host.hostId, left)
    else this._unsettled.delete(session.host.hostId)
    session.setUnsettled(left.length > 0)
    if (left.length < entries.length) this._onChange.fire()
  }

  private _isOver (entry: IUnsettled, running: ReadonlySet<string>): boolean {
    entry.missing = running.has(entry.attemptId) ? 0 : entry.missing + 1
    if (entry.missing < STATUSES_WITHOUT_ATTEMPT) return false
    this._context.engine.finished(entry.itemId, 'stopped', 0)
    return true
  }

  private _add (hostId: string, entry: IUnsettled): void {
    const entries = this._unsettled.get(hostId) ?? []
    entries.push(entry)
    this._unsettled.set(hostId, entries)
  }
}
