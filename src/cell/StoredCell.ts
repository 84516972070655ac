/**
 * Reads the records of earlier owners from the store, and restores the jobs from them.
 */

import { applyProgress, decodeAccepted, decodeOutcome } from '../common/cell/JobRecord.js'
import type { CellScheduler } from '../common/cell/CellScheduler.js'
import type { IMetadataItem, IMetadataRange, IMetadataStore } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IClock, ITimers } from '../common/Types.js'
import type { HostSessions } from './HostSessions.js'
import { JOB_PREFIX, LANE_PREFIX, PROGRESS_PREFIX } from './Keys.js'

const READ_RETRY_DELAY_MS = 100

export interface IStoredCell {
  /** Revisions of the lanes' records, by key. */
  readonly laneRevisions: ReadonlyMap<string, number>
  readonly accepted: readonly IMetadataItem[]
  readonly progress: readonly IMetadataItem[]
  readonly hosts: IMetadataRange
  /** How long the store took to answer the read of the lanes, in ms. */
  readonly storeLatencyMs: number
}

export interface IStoredCellContext {
  readonly store: IMetadataStore
  readonly clock: IClock & ITimers
  readonly log: ILogger
}

/** Retries until all records are read. If `isWanted` returns false meanwhile, the remaining ones stay empty. */
export async function readStoredCell (context: IStoredCellContext, hostsPrefix: string, isWanted: () => boolean): Promise<IStoredCell> {
  const { clock } = context
  const startedAtMs = clock.nowMs()
  let storeLatencyMs = 0
  const readRange = async (prefix: string): Promise<IMetadataRange> => await readPrefix(context, prefix, isWanted)
  const readAll = async (prefix: string): Promise<readonly IMetadataItem[]> => (await readRange(prefix)).items
  const [lanes, accepted, progress, hosts] = await Promise.all([
    readAll(LANE_PREFIX).finally(() => { storeLatencyMs = clock.nowMs() - startedAtMs }),
    readAll(JOB_PREFIX), readAll(PROGRESS_PREFIX), readRange(hostsPrefix)
  ])
  return { laneRevisions: new Map(lanes.map((item) => [item.key, item.revision])), accepted, progress, hosts, storeLatencyMs }
}

async function readPrefix ({ store, clock, log }: IStoredCellContext, prefix: string, isWanted: () => boolean): Promise<IMetadataRange> {
  while (isWanted()) {
    const read = await store.range(prefix)
    if (read.kind === 'read') return read.value
    log.warn('owner.readFailed', { prefix, reason: read.reason })
    await new Promise<void>((resolve) => { clock.after(READ_RETRY_DELAY_MS, resolve) })
  }
  return { items: [], revision: 0 }
}

/** Restores all jobs. A job that can't be decoded is left out, so that it doesn't prevent the others from continuing. */
export function restoreJobs (stored: IStoredCell, scheduler: CellScheduler, hosts: HostSessions, { clock, log }: IStoredCellContext): void {
  const accepted = new Map(stored.accepted.map((item) => [item.key.slice(JOB_PREFIX.length), item.value]))
  const progress = new Map(stored.progress.map((item) => [item.key.slice(PROGRESS_PREFIX.length), item.value]))
  for (const jobId of new Set([...accepted.keys(), ...progress.keys()])) {
    try {
      restoreJob(jobId, accepted.get(jobId), progress.get(jobId), scheduler, hosts, clock)
    } catch (error) {
      log.error('job.unreadable', { requestId: jobId, reason: String(error) })
    }
  }
}

function restoreJob (
  jobId: string, accepted: string | undefined, progress: string | undefined, scheduler: CellScheduler, hosts: HostSessions, clock: IClock
): void {
  const nowMs = clock.nowMs()
  const job = accepted === undefined ? decodeOutcome(jobId, progress ?? '', nowMs) : decodeAccepted(accepted, nowMs, clock.wallMs())
  if (job.spec.jobId !== jobId) throw new Error('job.jobId: not the id in the key')
  const runs = accepted === undefined || progress === undefined ? [] : applyProgress(job, progress)
  if (job.isFinished) job.finishedAtMs = nowMs
  scheduler.restore(job, runs, (hostId, bornMs) => hosts.getOrAddHost(hostId, bornMs))
}
