/**
 * One worker of an owned shard: fences it, then keeps a long poll open that renews the leases and brings news.
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

/** Also about the longest that a task of a dead host waits for its next attempt. */
export const TASK_LEASE_MS = 15_000
/** Two renewals may be lost before a lease lapses. A shorter wait costs more calls and bytes while nothing happens. */
const SYNC_WAIT_MS = 5000
/** Between two syncs: ends that come together are told together. */
const MIN_SYNC_GAP_MS = 20
const RETRY_MS = 500
/** Clocks may run apart by 1%. */
const MAX_DRIFT = 0.01
/** A single lost call says little. */
const MAX_MISSED = 2

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
  private readonly _starts: ILiveAttempt[] = []
  private _state: WorkerState = 'unfenced'
  private _isLeaving = false
  private _capacity: IResources
  private _sequence = 0
  private _missed = 0
  /** The last answer left a doubt that an answer to a question asked now settles. */
  private _mustAskAgain = false
  private _disposed = false
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

  /** As the host tells it; before that, as the host list does. */
  public get capacity (): IResources {
    return this._capacity
  }

  /** Whether it may get new work. */
  public get accepting (): boolean {
    return this._state === 'ready' && !this._isLeaving && this._host.state === 'live'
  }

  /** Whether all that runs there is known. */
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
    this._disposed = true
    for (const retry of this._retries) retry.dispose()
    this._retries.clear()
  }

  /** The host list has news of this host. Its word that a host is gone counts only if the host itself is silent. */
  public update (host: IHostRecord): void {
    const before = this.accepting
    this._host = host
    if (this.accepting !== before) this._events.onHostChanged(host.hostId)
    if (host.state === 'gone' && this._state === 'unreachable') this._attempts.endAll()
  }

  /** Starts an attempt; those of one turn go out in one call. */
  public start (attempt: IAttemptStart): void {
    const live = this._attempts.add(attempt)
    live.isCalling = true
    this._starts.push(live)
    if (this._starts.length === 1) queueMicrotask(() => { this._sendStarts(this._starts.splice(0)) })
  }

  /** Stops an attempt, and goes on trying until the host has told its end or its lease has lapsed. */
  public stop (attempt: IAttempt): void {
    const live = this._attempts.find(attempt)
    if (live === undefined || live.isStopping) return
    live.isStopping = true
    if (!live.isCalling) this._sendStop(live)
  }

  private async _fenceHost (): Promise<void> {
    const sentAtMs = this._context.clock.nowMs()
    const result = await this._context.client.fence(this._host, this.fence)
    if (this._disposed) return
    if (result.isErr()) {
      this._failed(result.error)
      if (!(result.error instanceof FencedError)) this._later(RETRY_MS, () => { this._fenceHost() })
      return
    }
    this._sequence = result.value.sequence
    this._attempts.adopt(result.value, this._clockOf(result.value, sentAtMs))
    this._answered(result.value)
    this._sync()
  }

  /**
   * Renews and hears news. A host that doesn't answer is asked without renewing: a renewal that is sent again and
   * again, and may arrive, would put off for ever the moment from which its tasks may start elsewhere.
   */
  private async _sync (): Promise<void> {
    const ready = this._state === 'ready'
    const sentAtMs = this._context.clock.nowMs()
    const leaseExpiresHostMs = ready ? this._attempts.renew(sentAtMs) : 0
    const waitMs = ready && !this._mustAskAgain ? SYNC_WAIT_MS : 0
    const { confirmations } = this._attempts
    const sync = { fence: this.fence, leaseExpiresHostMs, afterSequence: this._sequence, waitMs }
    const result = await this._context.client.sync(this._host, sync)
    if (this._disposed) return
    result.match((status) => { this._synced(status, sentAtMs, confirmations) }, (error) => { this._failed(error) })
    if (result.isErr() && result.error instanceof FencedError) return
    this._later(result.isOk() ? MIN_SYNC_GAP_MS : RETRY_MS, () => { this._sync() })
  }

  private _synced (status: IWorkerStatus, sentAtMs: number, confirmations: number): void {
    // A lower sequence means that the host has begun anew and numbers its news from the start.
    this._sequence = status.sequence
    this._answered(status)
    this._attempts.note(status, this._clockOf(status, sentAtMs))
    this._mustAskAgain = this._attempts.endUnlisted(status, confirmations)
    this._sendStarts(this._attempts.unconfirmed())
  }

  private _answered (status: IWorkerStatus): void {
    const changed = this._state !== 'ready' || this._isLeaving !== status.leaving || !sameResources(this._capacity, status.capacity)
    this._missed = 0
    this._state = 'ready'
    this._isLeaving = status.leaving
    this._capacity = status.capacity
    if (changed) this._events.onHostChanged(this._host.hostId)
  }

  /** A start without an answer is sent again: it takes effect once at most, and not at all after a stop. */
  private async _sendStarts (lives: readonly ILiveAttempt[]): Promise<void> {
    const known = lives.filter((live) => this._attempts.has(live))
    for (const live of known.filter((each) => each.isStopping)) this._sendStop(live)
    const left = known.filter((live) => !live.isStopping)
    if (left.length === 0 || this._disposed) return
    for (const live of left) live.isCalling = true
    const sentAtMs = this._context.clock.nowMs()
    const result = await this._context.client.start(this._host, this.fence, this._attempts.toStarts(left, sentAtMs))
    if (this._disposed) return
    for (const live of left) live.isCalling = false
    if (result.isErr()) {
      this._startFailed(left, result.error)
      return
    }
    this._attempts.note(result.value, this._clockOf(result.value, sentAtMs))
    for (const live of left) {
      if (live.isStopping && this._attempts.has(live)) this._sendStop(live)
    }
  }

  private _startFailed (lives: readonly ILiveAttempt[], error: UpstreamError): void {
    this._failed(error)
    if (error instanceof AmbiguousError) {
      // Once the host counts as unreachable, the next answered sync sends what is not listed then.
      if (this._state === 'ready') this._later(RETRY_MS, () => { this._sendStarts(lives.filter((live) => !live.isCalling)) })
      return
    }
    for (const live of lives) {
      if (this._attempts.forget(live)) this._events.onNotStarted(this._host.hostId, live.start)
    }
  }

  private async _sendStop (live: ILiveAttempt): Promise<void> {
    const sentAtMs = this._context.clock.nowMs()
    const result = await this._context.client.stop(this._host, this.fence, live.hostTask, live.start.attempt)
    if (this._disposed) return
    if (result.isErr()) {
      this._failed(result.error)
      this._later(RETRY_MS, () => { if (this._attempts.has(live)) this._sendStop(live) })
      return
    }
    const status = result.value
    this._attempts.note(status, this._clockOf(status, sentAtMs))
    const runs = status.tasks.some((task) => task.taskId === live.hostTask && task.attempt === live.start.attempt && task.state === 'running')
    // The host has taken the stop and doesn't list the attempt as running: it is over, whatever it was before.
    if (!runs) this._attempts.end(live, 'stopped')
  }

  private _failed (error: UpstreamError): void {
    if (error instanceof FencedError) {
      this._events.onFenced(this._host.hostId, this.fence.shardId, error.currentEpoch)
    } else if (error instanceof RefusedError) {
      this._refused()
    } else {
      this._missed += 1
      if (this._missed >= MAX_MISSED) this._unreachable(error)
    }
  }

  /** The host takes no new work, whatever it was told last; its next answer says for how long. */
  private _refused (): void {
    if (this._isLeaving) return
    this._isLeaving = true
    this._events.onHostChanged(this._host.hostId)
  }

  private _unreachable (error: UpstreamError): void {
    if (this._state !== 'unreachable') {
      this._context.log.warn('worker.unreachable', { peer: this._host.hostId, step: error.step })
      this._state = 'unreachable'
      this._events.onHostChanged(this._host.hostId)
    }
    if (this._host.state === 'gone') this._attempts.endAll()
    else if (this._attempts.endLapsed(this._context.clock.nowMs())) this._confirm()
  }

  /** Asks the store whether the shard is still ours: only then do lapsed leases count, because a newer owner renews them. */
  private async _confirm (): Promise<void> {
    if (this._isConfirming) return
    this._isConfirming = true
    const sentAtMs = this._context.clock.nowMs()
    const isOurs = await this._context.shards.confirm(this.fence.shardId, this.fence.epoch)
    this._isConfirming = false
    if (!isOurs || this._disposed) return
    this._attempts.noteConfirmed(sentAtMs)
    this._attempts.endLapsed(this._context.clock.nowMs())
  }

  private _clockOf (status: IWorkerStatus, sentAtMs: number): IHostClockSnapshot {
    return { hostMs: status.hostMs, sentAtMs, receivedAtMs: this._context.clock.nowMs() }
  }

  private _later (delayMs: number, callback: () => void): void {
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
