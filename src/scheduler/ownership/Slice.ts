/**
 * One id shard that this process owns: its log, its tables, and the answers that wait for a commit.
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
  /** What those are told who come while the store doesn't answer, in milliseconds. */
  readonly retryAfterMs: number
}

/** `tooLarge`: no commit could hold it. */
export type JobOutcome = AppendOutcome | 'tooLarge'

function isTooOld (request: IClaimRequest): boolean {
  return request.ageMs > MAX_ATTEMPT_AGE_MS
}

export class Slice implements IDisposable {
  private readonly _onLost = new Emitter<void>()
  public readonly onLost = this._onLost.event
  private readonly _tables = new SliceTables()
  private readonly _expiry: IDisposable

  public constructor (
    private readonly _clock: IClock & ITimers,
    private readonly _writer: SliceWriter,
    private readonly _options: ISliceOptions,
    recovered: readonly SliceEntry[]
  ) {
    this._tables.recover(recovered)
    this._writer.onCommitted((commit) => { this._committed(commit) })
    this._writer.onDropped((entries) => { this._tables.dropped(entries.length) })
    this._writer.onLost(() => { this._onLost.fire() })
    this._expiry = this._clock.every(EXPIRY_PERIOD_MS, () => { this._expire() })
  }

  public get available (): boolean {
    return this._writer.available
  }

  /** Accepted jobs that haven't ended. */
  public liveJobs (): readonly IJobSpec[] {
    return this._tables.jobs.live()
  }

  /** A job of this shard, whether it runs or has ended within the retention. */
  public job (jobId: string): ReturnType<SliceTables['jobs']['get']> {
    return this._tables.jobs.get(jobId)
  }

  public async claim (request: IClaimRequest): Promise<ClaimReply> {
    if (isTooOld(request)) return { decision: 'blocked' }
    if (!this.available) return this._unavailable()
    const { claimKey: key, attemptId, holder } = request
    const decided = this._tables.claims.decideClaim(key, attemptId, holder)
    if (decided.decision === 'append') this._append({ type: 'claim', key, attemptId, holder, at: this._clock.wallMs() })
    const outcome = await this._writer.durable()
    if (outcome !== 'durable') return this._failed(outcome)
    return decided.decision === 'append' ? { decision: 'granted' } : decided
  }

  public async block (request: IClaimRequest): Promise<BlockReply> {
    // Its claim may have been forgotten after the retention: that none is known doesn't mean that it never ran.
    if (isTooOld(request)) return { decision: 'claimed', holder: request.holder }
    if (!this.available) return this._unavailable()
    const { claimKey: key, attemptId } = request
    const decided = this._tables.claims.decideBlock(key, attemptId)
    if (decided.decision === 'append') this._append({ type: 'block', key, attemptId, at: this._clock.wallMs() })
    const outcome = await this._writer.durable()
    if (outcome !== 'durable') return this._failed(outcome)
    return decided.decision === 'append' ? { decision: 'blocked' } : decided
  }

  /** The holder says that it never dispatched. False: it doesn't hold the claim, or that isn't durable. */
  public async release (request: IClaimRequest): Promise<boolean> {
    const { claimKey: key, attemptId, holder } = request
    if (!this.available || !this._tables.claims.holds(key, attemptId, holder)) return false
    this._append({ type: 'release', key, attemptId, at: this._clock.wallMs() })
    return await this._writer.durable() === 'durable'
  }

  /** Makes a job durable; one that is known already is durable as it is. */
  public async acceptJob (job: IJobSpec): Promise<JobOutcome> {
    if (!this.available) return 'dropped'
    const known = this._tables.jobs.get(job.jobId) !== undefined
    if (!known && !this._append({ type: 'job', job, at: this._clock.wallMs() })) return 'tooLarge'
    return await this._writer.durable()
  }

  /** Makes a job's end durable. Until it is, a new owner would carry the job on: repeat it while it isn't `durable`. */
  public async endJob (jobId: string, state: JobState): Promise<AppendOutcome> {
    if (!this.available) return 'dropped'
    if (this._tables.jobs.get(jobId)?.end === undefined) {
      this._append({ type: 'jobEnd', jobId, state, at: this._clock.wallMs() })
    }
    return await this._writer.durable()
  }

  /** Resolves when everything queued has an outcome; for a planned release. */
  public async flush (): Promise<AppendOutcome> {
    return await this._writer.durable()
  }

  public dispose (): void {
    this._expiry.dispose()
    this._writer.dispose()
    this._onLost.dispose()
  }

  private _append (entry: SliceEntry): boolean {
    if (!this._writer.append(entry)) return false
    this._tables.queue(entry)
    return true
  }

  /**
   * A claim whose commit was in doubt has proved durable, after its holder was told `unavailable` and gave up. Left
   * alone it would keep the id from ever running: repeats would be told of an attempt that never ran. Nobody was
   * granted it, so it is released.
   */
  private _committed (commit: ISliceCommit): void {
    this._tables.committed(commit.entries.length)
    if (!commit.late) return
    for (const entry of commit.entries) {
      if (entry.type !== 'claim' || !this._tables.claims.holds(entry.key, entry.attemptId, entry.holder)) continue
      this._append({ type: 'release', key: entry.key, attemptId: entry.attemptId, at: this._clock.wallMs() })
    }
  }

  private _expire (): void {
    this._tables.expire(this._clock.wallMs() - this._options.retentionMs - WALL_CLOCK_MARGIN_MS)
    const segment = this._writer.log.expiredSegment(this._clock.wallMs())
    if (segment === undefined || !this.available) return
    for (const jobId of segment.jobIds) {
      const record = this._tables.jobs.get(jobId)
      if (record !== undefined && record.end === undefined) this._append({ type: 'job', job: record.job, at: this._clock.wallMs() })
    }
    this._writer.compact(segment)
  }

  private _failed (outcome: AppendOutcome): { readonly decision: 'notOwner' } | ReturnType<Slice['_unavailable']> {
    return outcome === 'lost' ? { decision: 'notOwner' } : this._unavailable()
  }

  private _unavailable (): { readonly decision: 'unavailable', readonly retryAfterMs: number } {
    return { decision: 'unavailable', retryAfterMs: this._options.retryAfterMs }
  }
}
