/**
 * The leases of the tasks on one host, as the owner of its shard knows them. They decide whether the next attempt of a task may
 * start.
 *
 * It may start in two cases only:
 * 1. The host itself has reported, under this owner's epoch, that the attempt has ended or that it doesn't know it. Under this
 * epoch no start or renewal of an earlier owner can take effect any more.
 * 2. The host has been fenced under this epoch, and its clock has certainly passed the latest expiry that any command could have
 * set. This covers the commands of this owner, whether answered or not, and those of earlier owners, which expire at the latest
 * `leaseMs` after the fence on the host's clock, since they too count from answers of this host. In addition, the store has
 * confirmed, in a read sent after that, that this process still owns the shard: a newer owner may have renewed the lease without
 * its knowledge, and it might start the next attempt on a host of another shard, which still accepts its commands. Without this
 * read, a task could run twice after a pause of its first owner.
 *
 * It may not start while the host hasn't been fenced under this epoch, however long the host has been silent: an earlier owner
 * that is cut off from the store but not from the host may keep renewing the lease. The clock of this process doesn't count
 * either: the time of sending gives no bound, since a renewal may still be in flight.
 */

import { HostClock } from './HostClock.js'

import type { MonotonicMs } from '../Types.js'
import type { IHostClockSnapshot } from './HostClock.js'

export interface ITaskLeasesOptions {
  /** The duration of a lease on the host's clock, in milliseconds. */
  readonly leaseMs: number
  /** The maximum drift between two clocks, as a share of the elapsed time. */
  readonly maxDrift: number
}

/**
 * `ended`: the host reported the end. `lapsed`: the lease has certainly expired. `unconfirmed`: the lease seems to have expired;
 * read the shard's record and record the confirmation. `unfenced`, `leased`: the next attempt may not start yet.
 */
export type NextAttempt = 'ended' | 'lapsed' | 'unconfirmed' | 'unfenced' | 'leased'

/** The host's report of one attempt. */
export interface IAttemptReport {
  readonly taskId: string
  readonly attempt: number
  readonly running: boolean
}

interface IAttempt {
  readonly attempt: number
  readonly ended: boolean
  /** The latest time on the host's clock at which its lease can end, by any command ever sent. */
  readonly expiresHostMs: number
}

export interface ITaskLeasesSnapshot {
  readonly clock: IHostClockSnapshot | undefined
  readonly fenced: boolean
  readonly confirmedAtMs: MonotonicMs
  readonly inheritedUntilHostMs: number
  readonly attempts: readonly (readonly [string, IAttempt])[]
}

export class TaskLeases {
  private readonly _clock: HostClock
  private _fenced: boolean
  private _confirmedAtMs: MonotonicMs
  private _inheritedUntilHostMs: number
  private readonly _attempts: Map<string, IAttempt>

  public constructor (private readonly _options: ITaskLeasesOptions, from?: ITaskLeasesSnapshot) {
    this._clock = new HostClock(_options.maxDrift, from?.clock)
    this._fenced = from?.fenced ?? false
    this._confirmedAtMs = from?.confirmedAtMs ?? 0
    this._inheritedUntilHostMs = from?.inheritedUntilHostMs ?? 0
    this._attempts = new Map(from?.attempts)
  }

  public get isFenced (): boolean {
    return this._fenced
  }

  public snapshot (): ITaskLeasesSnapshot {
    return {
      clock: this._clock.snapshot(),
      fenced: this._fenced,
      confirmedAtMs: this._confirmedAtMs,
      inheritedUntilHostMs: this._inheritedUntilHostMs,
      attempts: [...this._attempts]
    }
  }

  /** Records that the host has accepted this owner's epoch, with the list of everything that it runs. */
  public recordFence (clock: IHostClockSnapshot, reports: readonly IAttemptReport[]): void {
    this._fenced = true
    this._inheritedUntilHostMs = clock.hostMs + this._options.leaseMs
    this.recordList(clock, reports)
  }

  /**
   * Records a list of what runs on the host and what has ended there. An attempt that this owner sent and that isn't
   * listed is left unchanged, since its start may still be in flight.
   */
  public recordList (clock: IHostClockSnapshot, reports: readonly IAttemptReport[]): void {
    this._clock.observe(clock)
    for (const report of reports) this._recordReport(report)
  }

  /** The expiry for a start or a renewal that is sent now, on the host's clock; undefined before the first answer of the host. */
  public expiryFor (nowMs: MonotonicMs): number | undefined {
    const hostMs = this._clock.earliestMs(nowMs)
    return hostMs === undefined ? undefined : hostMs + this._options.leaseMs
  }

  /** Records a start or a renewal. To be called before it is sent: the command counts even if it is never answered. */
  public recordSent (taskId: string, attempt: number, expiresHostMs: number): void {
    const known = this._attempts.get(taskId)
    const same = known?.attempt === attempt ? known : undefined
    this._attempts.set(taskId, {
      attempt,
      ended: same?.ended ?? false,
      expiresHostMs: Math.max(same?.expiresHostMs ?? 0, expiresHostMs)
    })
  }

  /** Records that the store has returned the shard's record with this owner's epoch, in a read sent at `sentAtMs`. */
  public recordConfirmation (sentAtMs: MonotonicMs): void {
    this._confirmedAtMs = Math.max(this._confirmedAtMs, sentAtMs)
  }

  /** Whether an attempt after `attempt` may start, here or on another host. */
  public decideNextAttempt (taskId: string, attempt: number, nowMs: MonotonicMs): NextAttempt {
    if (!this._fenced) return 'unfenced'
    const known = this._attempts.get(taskId)
    if (known !== undefined && known.attempt > attempt) return 'leased'
    // Neither listed at the fence nor sent by this owner: the attempt isn't there, and no earlier owner can start it any more.
    if (known === undefined || known.attempt < attempt || known.ended) return 'ended'
    if (!this._hasLapsed(known, nowMs)) return 'leased'
    return this._hasLapsed(known, this._confirmedAtMs) ? 'lapsed' : 'unconfirmed'
  }

  /** Forgets a task that has a later attempt elsewhere. */
  public forget (taskId: string): void {
    this._attempts.delete(taskId)
  }

  private _hasLapsed (attempt: IAttempt, atMs: MonotonicMs): boolean {
    const hostMs = this._clock.earliestMs(atMs)
    return hostMs !== undefined && hostMs > attempt.expiresHostMs
  }

  private _recordReport (report: IAttemptReport): void {
    const known = this._attempts.get(report.taskId)
    if (known !== undefined && known.attempt > report.attempt) return
    const expiresHostMs = known?.attempt === report.attempt ? known.expiresHostMs : this._inheritedUntilHostMs
    this._attempts.set(report.taskId, { attempt: report.attempt, ended: !report.running, expiresHostMs })
  }
}
