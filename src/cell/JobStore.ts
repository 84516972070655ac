/**
 * The jobs in the store: accepted, with progress, and removed when nobody may ask for them any more. Spreads them over
 * lanes by id, so that a slow store has several transactions on the way.
 */

import type { ILogger } from '../common/observability/Types.js'
import type { Job } from '../common/cell/Job.js'
import { encodeAccepted, encodeProgress } from '../common/cell/JobRecord.js'
import type { IMetadataStore } from '../common/cell/Types.js'
import type { IClock, ITimers } from '../common/Types.js'
import { jobKey, laneKey, progressKey } from './Keys.js'
import { StoreLane } from './StoreLane.js'

/**
 * Transactions on the way at once while the store is slow: at 350 ms an answer they still carry 300 records a second. A
 * store that is quick gets all writes through one of them: fewer and fuller transactions.
 */
export const LANE_COUNT = 4
/** A usual answer above which the store counts as slow, in ms: twice what one from another region takes. */
const SLOW_STORE_MS = 100
/** The store's outage after which new jobs are refused without waiting, in ms. */
const OUTAGE_MS = 400

export type AcceptOutcome = { readonly kind: 'stored' } | { readonly kind: 'refused', readonly reason: string }

export class JobStore {
  private readonly _lanes: readonly StoreLane[]
  private readonly _laneByJob = new Map<string, StoreLane>()

  public constructor (
    store: IMetadataStore,
    ownerRevision: number,
    writerId: string,
    laneRevisions: ReadonlyMap<string, number>,
    private readonly _clock: IClock & ITimers,
    log: ILogger,
    onOwnershipLost: (reason: string) => void
  ) {
    this._lanes = Array.from({ length: LANE_COUNT }, (_, lane) => {
      const key = laneKey(lane)
      const options = { laneKey: key, laneRevision: laneRevisions.get(key) ?? 0, ownerRevision, writerId }
      return new StoreLane(store, options, _clock, log, onOwnershipLost)
    })
  }

  public get isOut (): boolean {
    return this._lanes.some((lane) => lane.failingForMs > OUTAGE_MS)
  }

  /** Keeps a new job; `refused` only where it is certain that the store hasn't got it and never will. */
  public async accept (job: Job): Promise<AcceptOutcome> {
    const { jobId } = job.spec
    const receivedAtWallMs = this._clock.wallMs() - (this._clock.nowMs() - job.receivedAtMs)
    return await new Promise((resolve) => {
      this._laneOf(jobId).write({
        key: jobKey(jobId),
        value: () => encodeAccepted(job, receivedAtWallMs),
        onStored: () => { resolve({ kind: 'stored' }) },
        onRefused: (reason) => { resolve({ kind: 'refused', reason }) }
      })
    })
  }

  /** Resolves once the store has the job as it is now, or newer. */
  public async save (job: Job): Promise<void> {
    const { jobId } = job.spec
    let { phase } = job
    await new Promise<void>((resolve) => {
      this._laneOf(jobId).write({
        key: progressKey(jobId),
        value: () => {
          phase = job.phase
          return encodeProgress(job)
        },
        onStored: () => {
          if (phase !== 'queued') job.storedPhase = phase
          resolve()
        }
      })
    })
  }

  public remove (jobId: string): void {
    for (const key of [jobKey(jobId), progressKey(jobId)]) {
      this._laneOf(jobId).write({ key, value: () => undefined, onStored: () => {} })
    }
    this._laneByJob.delete(jobId)
  }

  public dispose (): void {
    for (const lane of this._lanes) lane.dispose()
  }

  /** A job stays in its lane: two lanes may overtake each other. */
  private _laneOf (jobId: string): StoreLane {
    const known = this._laneByJob.get(jobId)
    if (known !== undefined) return known
    const [first] = this._lanes
    const isSlow = first !== undefined && first.latencyMs > SLOW_STORE_MS
    const lane = this._lanes[isSlow ? Number.parseInt(jobId.slice(-4), 16) % LANE_COUNT : 0]
    if (lane === undefined) throw new Error('a cell has lanes')
    this._laneByJob.set(jobId, lane)
    return lane
  }
}
