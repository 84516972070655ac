/**
 * One id shard that this process owns: decides claims and jobs by its tables, and answers once its log has committed.
 */

import { Emitter } from '../../common/Emitter.js'
import { MAX_ATTEMPT_AGE_MS } from '../../common/state/ClaimTable.js'
import { WALL_CLOCK_MARGIN_MS } from '../../common/state/SliceLogTypes.js'
import { SliceTables } from '../../common/state/SliceTables.js'

import type { BlockReply, ClaimReply, IClaimRequest, IJobSpec, JobState } from '../../common/protocol/Types.js'
import type { SliceEntry } from '../../common/state/Types.js'
import type { IClock, IDisposable, ITimers } from '../../common/Types.js'
import type { AppendOutcome, ISliceCommit, SliceWriter } from './SliceWriter.js'

const EXPIRY_PERIOD_MS = 1_000

export interface ISliceOptions {
  readonly retentionMs: number
  /** The retry delay in answers to callers while the store doesn't answer, in milliseconds. */
  readonly retryAfterMs: number
}

/** `tooLarge`: the job is larger than a commit may be. */
export type JobOutcome = AppendOutcome | 'tooLarge'

function isTooOld (request: IClaimRequest): boolean {
  return request.ageMs > MAX_ATTEMPT_AGE_MS
}

export class Slice implements IDisposable {
  private readonly _onLost = new Emitter<void>()
  public readonly onLost = this._onLost.event
  private readonly _tables = new SliceTables()
  private readonly _expiryTimer: IDisposable

  public constructor (
    private readonly _clock: IClock & ITimers,
    private readonly _writer: SliceWriter,
    private readonly _options: ISliceOptions,
    recovered: readonly SliceEntry[]
  ) {
    this._tables.applyDurable(recovered)
    this._writer.onCommitted((commit) => { this._handleCommit(commit) })
    this._writer.onDropped((entries) => { this._tables.undoNewest(entries.length) })
    this._writer.onLost(() => { this._onLost.fire() })
    this._expiryTimer = this._clock.every(EXPIRY_PERIOD_MS, () => { this._expireEntries() })
  }

  public get available (): boolean {
    return this._writer.available
  }

  /** Accepted jobs that haven't ended. */
  public liveJobs (): readonly IJobSpec[] {
    return this._tables.jobs.liveJobs()
  }

  /** A job of this shard that is live or has ended within the retention time. */
  public job (jobId: string): ReturnType<SliceTables['jobs']['get']> {
    return this._tables.jobs.get(jobId)
  }

  public async claim (request: IClaimRequest): Promise<ClaimReply> {
    if (isTooOld(request)) return { decision: 'blocked' }
    if (!this.available) return this._unavailableReply()
    const { claimKey: key, attemptId, holder } = request
    const decided = this._tables.claims.decideClaim(key, attemptId, holder)
    if (decided.decision === 'append') this._appendEntry({ type: 'claim', key, attemptId, holder, at: this._clock.wallMs() })
    const outcome = await this._writer.durable()
    if (outcome !== 'durable') return this._failedReply(outcome)
    return decided.decision === 'append' ? { decision: 'granted' } : decided
  }

  public async block (request: IClaimRequest): Promise<BlockReply> {
    // The claim may have expired after the retention time: if none is known, the attempt may still have run.
    if (isTooOld(request)) return { decision: 'claimed', holder: request.holder }
    if (!this.available) return this._unavailableReply()
    const { claimKey: key, attemptId } = request
    const decided = this._tables.claims.decideBlock(key, attemptId)
    if (decided.decision === 'append') this._appendEntry({ type: 'block', key, attemptId, at: this._clock.wallMs() })
    const outcome = await this._writer.durable()
    if (outcome !== 'durable') return this._failedReply(outcome)
    return decided.decision === 'append' ? { decision: 'blocked' } : decided
  }

  /** Releases a claim that its holder never dispatched. False: the holder doesn't hold the claim, or the release isn't durable. */
  public async release (request: IClaimRequest): Promise<boolean> {
    const { claimKey: key, attemptId, holder } = request
    if (!this.available || !this._tables.claims.holds(key, attemptId, holder)) return false
    this._appendEntry({ type: 'release', key, attemptId, at: this._clock.wallMs() })
    return await this._writer.durable() === 'durable'
  }

  /** Makes a job durable; appends nothing for a job that is already known. */
  public async acceptJob (job: IJobSpec): Promise<JobOutcome> {
    if (!this.available) return 'dropped'
    const isKnown = this._tables.jobs.get(job.jobId) !== undefined
    if (!isKnown && !this._appendEntry({ type: 'job', job, at: this._clock.wallMs() })) return 'tooLarge'
    return await this._writer.durable()
  }

  /** Makes a job's end durable. Call again until the outcome is `durable`: until then, a new owner would continue the job. */
  public async endJob (jobId: string, state: JobState): Promise<AppendOutcome> {
    if (!this.available) return 'dropped'
    if (this._tables.jobs.get(jobId)?.end === undefined) {
      this._appendEntry({ type: 'jobEnd', jobId, state, at: this._clock.wallMs() })
    }
    return await this._writer.durable()
  }

  /** Resolves when all queued entries have an outcome; for a planned release. */
  public async flush (): Promise<AppendOutcome> {
    return await this._writer.durable()
  }

  public dispose (): void {
    this._expiryTimer.dispose()
    this._writer.dispose()
    this._onLost.dispose()
  }

  private _appendEntry (entry: SliceEntry): boolean {
    if (!this._writer.append(entry)) return false
    this._tables.applyQueued(entry)
    return true
  }

  /**
   * Releases claims whose commit succeeded after it had been in doubt: their holders were answered `unavailable` and gave up.
   * Such a claim was granted to nobody. If it stayed, the id could never run, because its repeats would be referred to an
   * attempt that never ran.
   */
  private _handleCommit (commit: ISliceCommit): void {
    this._tables.confirmOldest(commit.entries.length)
    if (!commit.wasInDoubt) return
    for (const entry of commit.entries) {
      if (entry.type !== 'claim' || !this._tables.claims.holds(entry.key, entry.attemptId, entry.holder)) continue
      this._appendEntry({ type: 'release', key: entry.key, attemptId: entry.attemptId, at: this._clock.wallMs() })
    }
  }

  private _expireEntries (): void {
    this._tables.expire(this._clock.wallMs() - this._options.retentionMs - WALL_CLOCK_MARGIN_MS)
    const segment = this._writer.log.expiredSegment(this._clock.wallMs())
    if (segment === undefined || !this.available) return
    for (const jobId of segment.jobIds) {
      const record = this._tables.jobs.get(jobId)
      if (record !== undefined && record.end === undefined) this._appendEntry({ type: 'job', job: record.job, at: this._clock.wallMs() })
    }
    this._writer.compact(segment)
  }

  private _failedReply (outcome: AppendOutcome): { readonly decision: 'notOwner' } | ReturnType<Slice['_unavailableReply']> {
    return outcome === 'lost' ? { decision: 'notOwner' } : this._unavailableReply()
  }

  private _unavailableReply (): { readonly decision: 'unavailable', readonly retryAfterMs: number } {
    return { decision: 'unavailable', retryAfterMs: this._options.retryAfterMs }
  }
}
