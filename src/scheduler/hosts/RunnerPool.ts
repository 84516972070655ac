/**
 * The runners of all owned shards. Keeps the decision engine's view of them correct when shards change owner, runners
 * become unreachable or leave, and the end of an attempt was not observed.
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

/** An attempt whose end was not observed counts as over once two statuses don't list it: the first may predate its start. */
const STATUSES_WITHOUT_ATTEMPT = 2
/** Prefix of the item ids of attempts that an earlier owner dispatched and that still run. */
const ADOPTED_PREFIX = 'adopted/'

interface IUnsettledAttempt {
  readonly itemId: string
  readonly attemptId: string
  missedStatuses: number
}

export interface IRunnerPoolContext {
  readonly engine: IDecisionEngine
  readonly client: IRunnerClient
  readonly directory: IHostDirectory
  readonly shards: IShardEvents
  readonly clock: IClock
  readonly timers: ITimers
  readonly log: ILogger
  /** Creates the engine item of an adopted attempt. */
  readonly createAdoptedItem: (itemId: string, nowMs: number) => IWorkItem
}

export class RunnerPool implements IRunnerSessionEvents, IDisposable {
  private readonly _onChange = new Emitter<void>()
  /** Slots have become free, or hosts have changed or gone: the engine may have something new to decide. */
  public readonly onChange = this._onChange.event
  private readonly _owned = new Map<string, IOwnedShard>()
  private readonly _sessions = new Map<string, RunnerSession>()
  private readonly _unsettled = new Map<string, IUnsettledAttempt[]>()

  public constructor (private readonly _context: IRunnerPoolContext) {
    _context.directory.onChange(() => this._refresh())
    _context.shards.onAcquired((shard) => this._addShard(shard))
    _context.shards.onLost((shard) => this._removeShard(shard))
  }

  public dispose (): void {
    for (const session of this._sessions.values()) session.dispose()
    this._sessions.clear()
  }

  /** The host and the fence to dispatch with; undefined when this process no longer owns the host. */
  public targetOf (hostId: string): { readonly host: IHostRecord, readonly fence: IFence } | undefined {
    const session = this._sessions.get(hostId)
    return session === undefined ? undefined : { host: session.host, fence: session.fence }
  }

  /**
   * Keeps the slot of an attempt taken until the runner's status no longer lists the attempt.
   *
   * A call that was cut off or timed out may still run at the runner. Counting its slot as free immediately would
   * oversubscribe the runner, which would refuse calls or run more calls than it has slots.
   */
  public holdSlot (hostId: string, itemId: string, attemptId: string): void {
    const session = this._sessions.get(hostId)
    if (session === undefined) return
    this._addUnsettled(hostId, { itemId, attemptId, missedStatuses: 0 })
    session.setUnsettled(true)
  }

  /** Marks a runner as leaving because it refused a call for that reason. */
  public markLeaving (hostId: string): void {
    this._sessions.get(hostId)?.markLeaving()
  }

  /** Reports that a runner answered with a newer epoch. */
  public reportFenced (hostId: string, currentEpoch: number): void {
    const session = this._sessions.get(hostId)
    if (session !== undefined) this.onFenced(session, currentEpoch)
  }

  public onStatus (session: RunnerSession, status: IRunnerStatus): void {
    if (session.state === 'unfenced') this._adoptAttempts(session, status)
    this._settleAttempts(session, status)
  }

  public onStateChange (session: RunnerSession): void {
    this._putHost(session)
    this._onChange.fire()
  }

  public onFenced (session: RunnerSession, currentEpoch: number): void {
    this._context.shards.reportFenced(session.fence.shardId, currentEpoch)
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

  private _addShard (shard: IOwnedShard): void {
    if (!shard.shardId.startsWith('runners/')) return
    this._removeShard(shard)
    this._owned.set(shard.shardId, shard)
    this._refresh()
  }

  private _removeShard (shard: IOwnedShard): void {
    this._owned.delete(shard.shardId)
    for (const session of [...this._sessions.values()]) {
      if (session.fence.shardId === shard.shardId) this._removeSession(session)
    }
  }

  private _refresh (): void {
    const listed = new Set<string>()
    for (const host of this._context.directory.hosts) {
      if (host.kind !== 'runner' || host.state === 'gone') continue
      listed.add(host.hostId)
      this._trackHost(host)
    }
    for (const session of [...this._sessions.values()]) {
      if (!listed.has(session.host.hostId)) this._removeSession(session)
    }
  }

  private _trackHost (host: IHostRecord): void {
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

  private _removeSession (session: RunnerSession): void {
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

  private _adoptAttempts (session: RunnerSession, status: IRunnerStatus): void {
    for (const attemptId of status.attemptIds) {
      const itemId = `${ADOPTED_PREFIX}${attemptId}`
      this._context.engine.adopt(this._context.createAdoptedItem(itemId, this._context.clock.nowMs()), session.host.hostId)
      this._addUnsettled(session.host.hostId, { itemId, attemptId, missedStatuses: 0 })
    }
    if (status.attemptIds.length > 0) session.setUnsettled(true)
  }

  private _settleAttempts (session: RunnerSession, status: IRunnerStatus): void {
    const entries = this._unsettled.get(session.host.hostId)
    if (entries === undefined) return
    const running = new Set(status.attemptIds)
    const remaining = entries.filter((entry) => !this._settleIfOver(entry, running))
    if (remaining.length > 0) this._unsettled.set(session.host.hostId, remaining)
    else this._unsettled.delete(session.host.hostId)
    session.setUnsettled(remaining.length > 0)
    if (remaining.length < entries.length) this._onChange.fire()
  }

  private _settleIfOver (entry: IUnsettledAttempt, running: ReadonlySet<string>): boolean {
    entry.missedStatuses = running.has(entry.attemptId) ? 0 : entry.missedStatuses + 1
    if (entry.missedStatuses < STATUSES_WITHOUT_ATTEMPT) return false
    this._context.engine.recordEnd(entry.itemId, 'stopped', 0)
    return true
  }

  private _addUnsettled (hostId: string, entry: IUnsettledAttempt): void {
    const entries = this._unsettled.get(hostId) ?? []
    entries.push(entry)
    this._unsettled.set(hostId, entries)
  }
}
