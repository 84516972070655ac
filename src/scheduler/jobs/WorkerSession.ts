/**
 * The session with one worker of an owned shard: fences the worker, then keeps a long poll open that renews the leases of
 * its attempts and returns changes of their states.
 */

import { AmbiguousError, FencedError, RefusedError } from '../../common/Errors.js'
import { LiveAttempts } from './LiveAttempts.js'

import type { ILogger } from '../../common/observability/Types.js'
import type { IHostClockSnapshot } from '../../common/state/HostClock.js'
import type { IClock, IDisposable, IResources, ITimers } from '../../common/Types.js'
import type { IShardEvents } from '../hosts/Types.js'
import type { IFence, IHostRecord, IWorkerClient, IWorkerStatus, UpstreamError } from '../../runtime/Types.js'
import type { ILiveAttempt } from './LiveAttempts.js'
import type { IAttempt, IAttemptStart, IWorkerEvents } from './Types.js'

/** Also approximately the longest time that a task of a dead host waits for its next attempt. */
export const TASK_LEASE_MS = 15_000
/** Two renewals may be lost before a lease lapses. A shorter wait costs more calls and traffic while nothing changes. */
const SYNC_WAIT_MS = 5000
/** Shortest time between two syncs, so that attempts that end together are reported together. */
const MIN_SYNC_GAP_MS = 20
const RETRY_MS = 500
/** The rates of two clocks may differ by 1%. */
const MAX_DRIFT = 0.01
/** A single lost call is no evidence of a failure. */
const MAX_MISSED_CALLS = 2

export type WorkerState = 'unfenced' | 'ready' | 'unreachable'

export interface IWorkerSessionContext {
  readonly client: IWorkerClient
  readonly shards: Pick<IShardEvents, 'confirm'>
  readonly clock: IClock
  readonly timers: ITimers
  readonly log: ILogger
}

export class WorkerSession implements IDisposable {
  private readonly _attempts: LiveAttempts
  private readonly _retries = new Set<IDisposable>()
  private readonly _pendingStarts: ILiveAttempt[] = []
  private _state: WorkerState = 'unfenced'
  private _isLeaving = false
  private _capacity: IResources
  private _sequence = 0
  private _missedCalls = 0
  /** Some attempts weren't listed by the last sync, and only a new sync shows whether they have ended. */
  private _needsFreshStatus = false
  private _isDisposed = false
  private _isConfirming = false

  public constructor (
    private _host: IHostRecord,
    public readonly fence: IFence,
    private readonly _context: IWorkerSessionContext,
    private readonly _events: IWorkerEvents
  ) {
    this._attempts = new LiveAttempts(_host.hostId, { leaseMs: TASK_LEASE_MS, maxDrift: MAX_DRIFT }, _events)
    this._capacity = _host.capacity
  }

  public get host (): IHostRecord {
    return this._host
  }

  public get state (): WorkerState {
    return this._state
  }

  /** The capacity that the host reported; until its first answer, the one of the host list. */
  public get capacity (): IResources {
    return this._capacity
  }

  /** Whether the host accepts new work. */
  public get accepting (): boolean {
    return this._state === 'ready' && !this._isLeaving && this._host.state === 'live'
  }

  /** Whether all attempts that run on the host are known. */
  public get settled (): boolean {
    return this._attempts.fenced || (this._host.state === 'gone' && this._state === 'unreachable')
  }

  public get liveCount (): number {
    return this._attempts.size
  }

  public begin (): void {
    this._fenceHost()
  }

  public dispose (): void {
    this._isDisposed = true
    for (const retry of this._retries) retry.dispose()
    this._retries.clear()
  }

  /** Updates the session to the host's current record in the host list. `gone` counts only if the host doesn't answer either. */
  public update (host: IHostRecord): void {
    const before = this.accepting
    this._host = host
    if (this.accepting !== before) this._events.onHostChanged(host.hostId)
    if (host.state === 'gone' && this._state === 'unreachable') this._attempts.endAll()
  }

  /** Starts an attempt; attempts that are started in the same turn of the event loop are sent in one call. */
  public start (attempt: IAttemptStart): void {
    const live = this._attempts.add(attempt)
    live.isCalling = true
    this._pendingStarts.push(live)
    if (this._pendingStarts.length === 1) queueMicrotask(() => { this._sendStarts(this._pendingStarts.splice(0)) })
  }

  /** Stops an attempt, and retries until the host has reported its end or its lease has lapsed. */
  public stop (attempt: IAttempt): void {
    const live = this._attempts.find(attempt)
    if (live === undefined || live.isStopping) return
    live.isStopping = true
    if (!live.isCalling) this._sendStop(live)
  }

  private async _fenceHost (): Promise<void> {
    const sentAtMs = this._context.clock.nowMs()
    const result = await this._context.client.fence(this._host, this.fence)
    if (this._isDisposed) return
    if (result.isErr()) {
      this._handleError(result.error)
      if (!(result.error instanceof FencedError)) this._schedule(RETRY_MS, () => { this._fenceHost() })
      return
    }
    this._sequence = result.value.sequence
    this._attempts.adopt(result.value, this._clockSnapshotOf(result.value, sentAtMs))
    this._applyHostStatus(result.value)
    this._syncHost()
  }

  /**
   * Renews the leases and gets the host's status. If the host doesn't answer, further syncs don't renew: repeated renewals
   * may arrive without an answer, and would postpone for ever the time at which the tasks may start elsewhere.
   */
  private async _syncHost (): Promise<void> {
    const ready = this._state === 'ready'
    const sentAtMs = this._context.clock.nowMs()
    const leaseExpiresHostMs = ready ? this._attempts.renew(sentAtMs) : 0
    const waitMs = ready && !this._needsFreshStatus ? SYNC_WAIT_MS : 0
    const { confirmationCount } = this._attempts
    const sync = { fence: this.fence, leaseExpiresHostMs, afterSequence: this._sequence, waitMs }
    const result = await this._context.client.sync(this._host, sync)
    if (this._isDisposed) return
    result.match((status) => { this._handleSync(status, sentAtMs, confirmationCount) }, (error) => { this._handleError(error) })
    if (result.isErr() && result.error instanceof FencedError) return
    this._schedule(result.isOk() ? MIN_SYNC_GAP_MS : RETRY_MS, () => { this._syncHost() })
  }

  private _handleSync (status: IWorkerStatus, sentAtMs: number, confirmationCount: number): void {
    // A lower sequence means that the host was restarted and numbers its changes from the start.
    this._sequence = status.sequence
    this._applyHostStatus(status)
    this._attempts.applyStatus(status, this._clockSnapshotOf(status, sentAtMs))
    this._needsFreshStatus = this._attempts.endUnlisted(status, confirmationCount)
    this._sendStarts(this._attempts.unconfirmed())
  }

  private _applyHostStatus (status: IWorkerStatus): void {
    const changed = this._state !== 'ready' || this._isLeaving !== status.leaving || !sameResources(this._capacity, status.capacity)
    this._missedCalls = 0
    this._state = 'ready'
    this._isLeaving = status.leaving
    this._capacity = status.capacity
    if (changed) this._events.onHostChanged(this._host.hostId)
  }

  /** Sends the starts of attempts. Repeats are safe: a start takes effect at most once, and not at all after a stop. */
  private async _sendStarts (attempts: readonly ILiveAttempt[]): Promise<void> {
    const tracked = attempts.filter((live) => this._attempts.has(live))
    for (const live of tracked.filter((each) => each.isStopping)) this._sendStop(live)
    const toStart = tracked.filter((live) => !live.isStopping)
    if (toStart.length === 0 || this._isDisposed) return
    for (const live of toStart) live.isCalling = true
    const sentAtMs = this._context.clock.nowMs()
    const result = await this._context.client.start(this._host, this.fence, this._attempts.toStarts(toStart, sentAtMs))
    if (this._isDisposed) return
    for (const live of toStart) live.isCalling = false
    if (result.isErr()) {
      this._handleStartError(toStart, result.error)
      return
    }
    this._attempts.applyStatus(result.value, this._clockSnapshotOf(result.value, sentAtMs))
    for (const live of toStart) {
      if (live.isStopping && this._attempts.has(live)) this._sendStop(live)
    }
  }

  private _handleStartError (attempts: readonly ILiveAttempt[], error: UpstreamError): void {
    this._handleError(error)
    if (error instanceof AmbiguousError) {
      // If the host counts as unreachable, the next answered sync sends the starts of attempts that it doesn't list.
      if (this._state === 'ready') this._schedule(RETRY_MS, () => { this._sendStarts(attempts.filter((live) => !live.isCalling)) })
      return
    }
    for (const live of attempts) {
      if (this._attempts.forget(live)) this._events.onNotStarted(this._host.hostId, live.start)
    }
  }

  private async _sendStop (live: ILiveAttempt): Promise<void> {
    const sentAtMs = this._context.clock.nowMs()
    const result = await this._context.client.stop(this._host, this.fence, live.hostTaskId, live.start.attempt)
    if (this._isDisposed) return
    if (result.isErr()) {
      this._handleError(result.error)
      this._schedule(RETRY_MS, () => { if (this._attempts.has(live)) this._sendStop(live) })
      return
    }
    const status = result.value
    this._attempts.applyStatus(status, this._clockSnapshotOf(status, sentAtMs))
    const isRunning = status.tasks.some((task) => task.taskId === live.hostTaskId && task.attempt === live.start.attempt && task.state === 'running')
    // The host accepted the stop and doesn't list the attempt as running: the attempt is over, whatever its state was.
    if (!isRunning) this._attempts.end(live, 'stopped')
  }

  private _handleError (error: UpstreamError): void {
    if (error instanceof FencedError) {
      this._events.onFenced(this._host.hostId, this.fence.shardId, error.currentEpoch)
    } else if (error instanceof RefusedError) {
      this._handleRefusal()
    } else {
      this._missedCalls += 1
      if (this._missedCalls >= MAX_MISSED_CALLS) this._handleUnreachable(error)
    }
  }

  /** Marks the host as leaving because it refused a call; its next answer shows whether it still is. */
  private _handleRefusal (): void {
    if (this._isLeaving) return
    this._isLeaving = true
    this._events.onHostChanged(this._host.hostId)
  }

  private _handleUnreachable (error: UpstreamError): void {
    if (this._state !== 'unreachable') {
      this._context.log.warn('worker.unreachable', { peer: this._host.hostId, step: error.step })
      this._state = 'unreachable'
      this._events.onHostChanged(this._host.hostId)
    }
    if (this._host.state === 'gone') this._attempts.endAll()
    else if (this._attempts.endLapsed(this._context.clock.nowMs())) this._confirmOwnership()
  }

  /** Ends attempts with lapsed leases once the store confirms that this process owns the shard; a newer owner might renew the leases. */
  private async _confirmOwnership (): Promise<void> {
    if (this._isConfirming) return
    this._isConfirming = true
    const sentAtMs = this._context.clock.nowMs()
    const isOurs = await this._context.shards.confirm(this.fence.shardId, this.fence.epoch)
    this._isConfirming = false
    if (!isOurs || this._isDisposed) return
    this._attempts.confirmOwnership(sentAtMs)
    this._attempts.endLapsed(this._context.clock.nowMs())
  }

  private _clockSnapshotOf (status: IWorkerStatus, sentAtMs: number): IHostClockSnapshot {
    return { hostMs: status.hostMs, sentAtMs, receivedAtMs: this._context.clock.nowMs() }
  }

  private _schedule (delayMs: number, callback: () => void): void {
    const retry = this._context.timers.after(delayMs, () => {
      this._retries.delete(retry)
      callback()
    })
    this._retries.add(retry)
  }
}

function sameResources (a: IResources, b: IResources): boolean {
  return a.cores === b.cores && a.memoryBytes === b.memoryBytes && a.accelerators === b.accelerators
}
