/**
 * The workers of all owned shards. Keeps the decision engine's view of them correct when shards change owner, workers
 * become unreachable or leave, and tasks change state.
 */

import { shardOfHost } from '../hosts/Types.js'
import { WorkerSession } from './WorkerSession.js'

import type { IDisposable, IResources } from '../../common/Types.js'
import type { IHostRecord } from '../../runtime/Types.js'
import type { IOwnedShard } from '../hosts/Types.js'
import type { AttemptOutcome, IAttempt, IAttemptStart, IWorkerEvents, IWorkerPoolContext } from './Types.js'

/** The events of the pool; implemented by `TaskRunner`. */
export interface IWorkerPoolEvents {
  onAdopted (hostId: string, attempt: IAttemptStart): void
  onRunning (hostId: string, attempt: IAttempt): void
  onEnded (hostId: string, attempt: IAttempt, outcome: AttemptOutcome): void
  onNotStarted (hostId: string, attempt: IAttempt): void
  onUsage (attempt: IAttempt, usage: IResources): void
  /** This process no longer owns the host; attempts that run there continue under another owner. */
  onHostLost (hostId: string): void
  /** Places may have become free. */
  onCapacity (): void
}

const WORKERS_PREFIX = 'workers/'

export class WorkerPool implements IWorkerEvents, IDisposable {
  private readonly _owned = new Map<string, IOwnedShard>()
  private readonly _sessions = new Map<string, WorkerSession>()
  private readonly _registrations: readonly IDisposable[]

  public constructor (private readonly _context: IWorkerPoolContext, private readonly _events: IWorkerPoolEvents) {
    this._registrations = [
      _context.directory.onChange(() => { this._refresh() }),
      _context.shards.onAcquired((shard) => { this._addShard(shard) }),
      _context.shards.onLost((shard) => { this._removeShard(shard.shardId) })
    ]
  }

  public dispose (): void {
    for (const registration of this._registrations) registration.dispose()
    for (const session of this._sessions.values()) session.dispose()
    this._sessions.clear()
  }

  /** The session of a host that this process owns. */
  public session (hostId: string): WorkerSession | undefined {
    return this._sessions.get(hostId)
  }

  public shardOf (hostId: string): string | undefined {
    return this._sessions.get(hostId)?.fence.shardId
  }

  /** The owned shards whose hosts have all listed their attempts or are gone. */
  public settledShards (): readonly string[] {
    return [...this._owned.keys()].filter((shardId) => this._isSettled(shardId))
  }

  public dump (): readonly Readonly<Record<string, unknown>>[] {
    return [...this._sessions.values()].map((session) => ({
      hostId: session.host.hostId,
      shardId: session.fence.shardId,
      epoch: session.fence.epoch,
      state: session.state,
      accepting: session.accepting,
      attempts: session.liveCount
    }))
  }

  public onAdopted (hostId: string, running: readonly IAttemptStart[]): void {
    this._putHost(hostId)
    for (const attempt of running) this._events.onAdopted(hostId, attempt)
  }

  public onRunning (hostId: string, attempt: IAttempt): void {
    this._events.onRunning(hostId, attempt)
  }

  public onEnded (hostId: string, attempt: IAttempt, outcome: AttemptOutcome): void {
    this._events.onEnded(hostId, attempt, outcome)
  }

  public onNotStarted (hostId: string, attempt: IAttempt): void {
    this._events.onNotStarted(hostId, attempt)
  }

  public onUsage (_hostId: string, attempt: IAttempt, usage: IResources): void {
    this._events.onUsage(attempt, usage)
  }

  public onHostChanged (hostId: string): void {
    this._putHost(hostId)
    this._events.onCapacity()
  }

  public onFenced (_hostId: string, shardId: string, currentEpoch: number): void {
    this._context.shards.reportFenced(shardId, currentEpoch)
  }

  private _addShard (shard: IOwnedShard): void {
    if (!shard.shardId.startsWith(WORKERS_PREFIX)) return
    this._removeShard(shard.shardId)
    this._owned.set(shard.shardId, shard)
    this._refresh()
  }

  private _removeShard (shardId: string): void {
    this._owned.delete(shardId)
    for (const session of [...this._sessions.values()]) {
      if (session.fence.shardId === shardId) this._removeSession(session)
    }
  }

  /** Updates the sessions from the host list. A host that isn't listed any more counts as gone only if it doesn't answer either. */
  private _refresh (): void {
    const listed = new Set<string>()
    for (const host of this._context.directory.hosts) {
      listed.add(host.hostId)
      if (host.kind === 'worker') this._trackHost(host)
    }
    for (const session of [...this._sessions.values()]) {
      if (!listed.has(session.host.hostId)) this._handleUnlisted(session)
    }
  }

  private _trackHost (host: IHostRecord): void {
    const session = this._sessions.get(host.hostId)
    if (session !== undefined) {
      session.update(host)
      return
    }
    const owned = this._owned.get(shardOfHost(host))
    if (owned === undefined) return
    const created = new WorkerSession(host, { shardId: owned.shardId, epoch: owned.epoch }, this._context, this)
    this._sessions.set(host.hostId, created)
    this._putHost(host.hostId)
    created.begin()
  }

  private _handleUnlisted (session: WorkerSession): void {
    session.update({ ...session.host, state: 'gone' })
    if (session.state === 'unreachable' && session.liveCount === 0) this._removeSession(session)
  }

  private _removeSession (session: WorkerSession): void {
    const { hostId } = session.host
    session.dispose()
    this._sessions.delete(hostId)
    this._context.engine.removeHost(hostId)
    this._context.client.forget(hostId)
    this._events.onHostLost(hostId)
  }

  private _putHost (hostId: string): void {
    const session = this._sessions.get(hostId)
    if (session === undefined) return
    const { host, capacity, accepting, fence } = session
    const { region, failureDomain } = host
    this._context.engine.putHost({ hostId, shardId: fence.shardId, region, failureDomain, capacity, accepting })
  }

  private _isSettled (shardId: string): boolean {
    const areHostsSettled = this._hostsOf(shardId).every((host) => this._sessions.get(host.hostId)?.settled === true)
    return areHostsSettled && [...this._sessions.values()].every((session) => session.fence.shardId !== shardId || session.settled)
  }

  private _hostsOf (shardId: string): readonly IHostRecord[] {
    return this._context.directory.hosts.filter((host) => host.kind === 'worker' && shardOfHost(host) === shardId)
  }
}
