/**
 * The accepted jobs of an id shard, built from the entries of its log. An ended job is kept for the retention time.
 */

import type { IJobSpec, JobState } from '../protocol/Types.js'
import type { EpochMs } from '../Types.js'
import type { Undo } from './ClaimTable.js'
import type { SliceEntry } from './Types.js'

export interface IJobRecord {
  readonly job: IJobSpec
  /** Set once it has ended. */
  readonly end?: JobState
  readonly endedAt?: EpochMs
}

const NO_UNDO: Undo = () => {}

export class JobTable {
  private readonly _jobs = new Map<string, IJobRecord>()

  /** Applies an entry, and returns the function that undoes it. Undo entries in reverse order. */
  public apply (entry: SliceEntry): Undo {
    if (entry.type === 'job') return this._applyJob(entry.job)
    if (entry.type === 'jobEnd') return this._applyEnd(entry.jobId, entry.state, entry.at)
    return NO_UNDO
  }

  public get (jobId: string): IJobRecord | undefined {
    return this._jobs.get(jobId)
  }

  /** The accepted jobs that haven't ended, which a new owner has to continue. */
  public liveJobs (): readonly IJobSpec[] {
    return [...this._jobs.values()].filter((record) => record.end === undefined).map((record) => record.job)
  }

  /** Forgets jobs that ended before `before`. */
  public expire (before: EpochMs): void {
    for (const [jobId, record] of this._jobs) {
      if (record.endedAt !== undefined && record.endedAt < before) this._jobs.delete(jobId)
    }
  }

  /** A known job is left unchanged: compaction appends live jobs again, and a repeated entry changes nothing. */
  private _applyJob (job: IJobSpec): Undo {
    if (this._jobs.has(job.jobId)) return NO_UNDO
    this._jobs.set(job.jobId, { job })
    return () => { this._jobs.delete(job.jobId) }
  }

  private _applyEnd (jobId: string, end: JobState, endedAt: EpochMs): Undo {
    const before = this._jobs.get(jobId)
    if (before === undefined || before.end !== undefined) return NO_UNDO
    this._jobs.set(jobId, { job: before.job, end, endedAt })
    return () => { this._jobs.set(jobId, before) }
  }
}
