/**
 * Persistence of jobs: stores accepted jobs and their progress, and removes jobs that callers can no longer ask for. Jobs are spread over
 * lanes, so that several transactions can be in flight to a slow store.
 */

import type { ILogger } from '../common/observability/Types.js'
import type { Job } from '../common/cell/Job.js'
import { encodeAccepted, encodeProgress } from '../common/cell/JobRecord.js'
import type { IMetadataStore, JobPhase } from '../common/cell/Types.js'
import type { IClock, ITimers } from '../common/Types.js'
import { jobKey, laneKey, progressKey } from './Keys.js'
import { StoreLane } from './StoreLane.js'
import type { ILaneWrite } from './StoreLane.js'
import { StoreLatency } from './StoreLatency.js'

import type { RefusalCause } from './BatchCommit.js'

/**
 * Number of lanes, which bounds the transactions in flight. With few lanes, a burst of urgent jobs creates more records than a slow store
 * accepts, and each record waits longer for its transaction than the transaction takes.
 */
export const LANE_COUNT = 12
/**
 * Number of records that wait in a lane before the next lane is used as well. A single lane makes the fewest and fullest transactions,
 * which is enough for a store in the same region. With a store in another region, a burst needs several lanes.
 */
const FULL_LANE_RECORDS = 14
/**
 * If the store takes longer than this, in ms, records go to the lane that sends next. Behind a transaction that was just sent, an urgent
 * job would wait for two answers instead of one.
 */
const SLOW_ANSWER_MS = 30

export type AcceptOutcome =
  | { readonly kind: 'stored' }
  /** The job is certainly not stored and never will be. */
  | { readonly kind: 'refused', readonly reason: string, readonly cause: RefusalCause }
  | { readonly kind: 'unknown', readonly reason: string }

/** The lane of a job, and the number of its writes that aren't settled. */
interface IPendingJob {
  readonly lane: StoreLane
  count: number
}

export interface IJobStoreOptions {
  /** The revision of the ownership record, which all writes expect. */
  readonly ownerRevision: number
  readonly writerId: string
  /** Revisions of the lanes' records, by key. */
  readonly laneRevisions: ReadonlyMap<string, number>
  /** How long the store took to answer the last read, in ms. */
  readonly storeLatencyMs: number
}

export class JobStore {
  private readonly _lanes: readonly StoreLane[]
  /** Jobs with unsettled writes, by job id. */
  private readonly _pending = new Map<string, IPendingJob>()
  private readonly _latency: StoreLatency
  /** Ids of jobs of which only the outcome is stored. */
  private readonly _jobsWithoutDescription = new Set<string>()

  public constructor (
    store: IMetadataStore,
    { ownerRevision, writerId, laneRevisions, storeLatencyMs }: IJobStoreOptions,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger,
    onOwnershipLost: (reason: string) => void
  ) {
    this._latency = new StoreLatency(storeLatencyMs)
    this._lanes = Array.from({ length: LANE_COUNT }, (_, lane) => {
      const key = laneKey(lane)
      const options = { laneKey: key, laneRevision: laneRevisions.get(key) ?? 0, ownerRevision, writerId }
      return new StoreLane(store, options, this._latency, _clock, _log, onOwnershipLost)
    })
  }

  public get isStoreUnavailable (): boolean {
    return this._lanes.some((lane) => lane.isStoreUnavailable)
  }

  /** To be called when the store has answered this process. */
  public onStoreAnswered (): void {
    for (const lane of this._lanes) lane.onStoreAnswered()
  }

  /** Stores a new job. */
  public async accept (job: Job): Promise<AcceptOutcome> {
    const { jobId } = job.spec
    const receivedAtWallMs = this._clock.wallMs() - (this._clock.nowMs() - job.receivedAtMs)
    return await new Promise((resolve) => {
      this._write(jobId, {
        key: jobKey(jobId),
        value: () => encodeAccepted(job, receivedAtWallMs),
        onStored: () => { resolve({ kind: 'stored' }) },
        refusal: {
          onRefused: (reason, cause) => {
            // Set synchronously: the next transaction must not record a run of a job that isn't stored.
            job.acceptance = 'withdrawn'
            resolve({ kind: 'refused', reason, cause })
          },
          onUnknown: (reason) => { resolve({ kind: 'unknown', reason }) }
        }
      })
    })
  }

  /** Resolves once the store has the current state of the job, or a newer one. */
  public async save (job: Job): Promise<void> {
    const { jobId } = job.spec
    let { phase } = job
    let removesDescription = false
    await new Promise<void>((resolve) => {
      this._write(jobId, {
        key: progressKey(jobId),
        value: () => {
          if (job.acceptance === 'withdrawn') return undefined
          phase = job.phase
          return encodeProgress(job, this._clock.nowMs())
        },
        alsoRemoves: () => {
          removesDescription = this._canRemoveDescription(job)
          return removesDescription ? jobKey(jobId) : undefined
        },
        onStored: () => {
          if (job.acceptance === 'withdrawn') return resolve()
          if (removesDescription) this._jobsWithoutDescription.add(jobId)
          if (phase !== 'queued') this._recordStoredPhase(job, phase)
          resolve()
        }
      })
    })
  }

  private _recordStoredPhase (job: Job, phase: JobPhase): void {
    if (job.isFinished && job.storedPhase !== phase) {
      const ageMs = Math.round(this._clock.nowMs() - job.receivedAtMs)
      const objectiveMs = Math.round(job.dueMs - job.receivedAtMs)
      this._log.info('job.finished', { requestId: job.spec.jobId, queue: job.queue.name, phase, ageMs, objectiveMs })
    }
    job.storedPhase = phase
  }

  /**
   * Whether the job has finished and runs nowhere. Then only its outcome is kept, from the transaction that stores the outcome. The next
   * owner reads all records before it serves requests, and most of them belong to finished jobs.
   */
  private _canRemoveDescription (job: Job): boolean {
    return job.acceptance === 'stored' && job.isFinished && !this._jobsWithoutDescription.has(job.spec.jobId) && job.steps.every((step) => step.hasNoRuns)
  }

  public remove (jobId: string): void {
    for (const key of [jobKey(jobId), progressKey(jobId)]) {
      this._write(jobId, { key, value: () => undefined, onStored: () => {} })
    }
    this._jobsWithoutDescription.delete(jobId)
  }

  public dispose (): void {
    for (const lane of this._lanes) lane.dispose()
  }

  /**
   * Writes a record of a job in the job's lane. A job stays in its lane until all its writes are settled, since lanes can overtake each
   * other. This also applies to a refused job: its remaining writes have to precede those of its next submission.
   */
  private _write (jobId: string, write: ILaneWrite): void {
    const pending = this._pending.get(jobId) ?? { lane: this._chooseLane(), count: 0 }
    this._pending.set(jobId, pending)
    pending.count += 1
    const markSettled = (): void => {
      pending.count -= 1
      if (pending.count === 0) this._pending.delete(jobId)
    }
    const { refusal } = write
    pending.lane.write({
      ...write,
      onStored: () => {
        markSettled()
        write.onStored()
      },
      ...(refusal === undefined
        ? {}
        : {
            refusal: {
              onRefused: (reason, cause) => {
                markSettled()
                refusal.onRefused(reason, cause)
              },
              onUnknown: (reason) => {
                markSettled()
                refusal.onUnknown(reason)
              }
            }
          })
    })
  }

  private _chooseLane (): StoreLane {
    const open = this._lanes.filter((lane) => lane.queuedCount < FULL_LANE_RECORDS)
    if (this._latency.usualMs > SLOW_ANSWER_MS) open.sort((a, b) => (a.sentAtMs ?? 0) - (b.sentAtMs ?? 0))
    return open[0] ?? this._emptiestLane()
  }

  private _emptiestLane (): StoreLane {
    return this._lanes.reduce((best, lane) => lane.queuedCount < best.queuedCount ? lane : best)
  }
}
