/**
 * Decides which jobs can be accepted, and creates the answers to accepted and refused jobs.
 */

import { addResources, fits } from './SchedulerChoice.js'

import type { IJobSpec } from '../../common/protocol/Types.js'
import type { IFinalAnswer, IResources, OutcomeReason } from '../../common/Types.js'
import type { IJobOwnerContext } from './Types.js'

type AcceptOutcome = Awaited<ReturnType<IJobOwnerContext['jobLog']['acceptJob']>>

const STATUS_ACCEPTED = 202
/** An id shard is taken over within a few seconds. */
const OWNER_RETRY_MS = 1000
const STORE_RETRY_MS = 2000
/** A job that fits on no host becomes feasible only when hosts are added. */
const INFEASIBLE_RETRY_MS = 60_000
const IN_DOUBT_DETAIL = 'the job may have been accepted; submit the same id again'
const NO_RESOURCES: IResources = { cores: 0, memoryBytes: 0, accelerators: 0 }

export class JobAdmission {
  public constructor (private readonly _context: Pick<IJobOwnerContext, 'config' | 'hosts' | 'random'>) {}

  /**
   * The refusal of a job that can never run; undefined if it can.
   *
   * A job may be larger than any host, by mistake or because the hosts have become smaller. If it were accepted, it would
   * wait for ever, and an all-at-once job would also hold capacity that other jobs need. Before the host list has been
   * read, no job is refused for its size.
   */
  public refuseInfeasible (job: IJobSpec): IFinalAnswer | undefined {
    const service = this._context.config.service(job.service)
    const profile = service === undefined ? undefined : this._context.config.profile(service.profile)?.profile
    if (profile === undefined) return this._refusedAnswer('internal', 'this scheduler does not know the service yet', OWNER_RETRY_MS)
    const workers = this._context.hosts().filter((host) => host.kind === 'worker' && host.state !== 'gone')
    if (workers.length === 0) return undefined
    const tooLarge = job.tasks.find((task) => !workers.some((host) => fits(task.resources, host.capacity)))
    if (tooLarge !== undefined) return this._refusedAnswer('infeasible', `no host is large enough for task ${tooLarge.taskId}`, INFEASIBLE_RETRY_MS)
    const total = job.tasks.map((task) => task.resources).reduce(addResources, NO_RESOURCES)
    const capacity = workers.map((host) => host.capacity).reduce(addResources, NO_RESOURCES)
    if (!profile.allAtOnce || fits(total, capacity)) return undefined
    return this._refusedAnswer('infeasible', 'all hosts together are too small for all its tasks at once', INFEASIBLE_RETRY_MS)
  }

  public isSameJob (a: IJobSpec, b: IJobSpec): boolean {
    return toCanonicalText(a) === toCanonicalText(b)
  }

  public acceptedAnswer (job: IJobSpec): IFinalAnswer {
    const body = Buffer.from(JSON.stringify({ jobId: job.jobId, state: 'accepted' }))
    return { outcome: 'done', status: STATUS_ACCEPTED, contentType: 'application/json', body }
  }

  public notOwnerAnswer (): IFinalAnswer {
    return this._refusedAnswer('noUpstream', 'another process owns this job id', OWNER_RETRY_MS)
  }

  public duplicateAnswer (): IFinalAnswer {
    return this._refusedAnswer('duplicate', 'another job has this id', 0)
  }

  /** The answer to a job that wasn't stored: "not accepted" only if that is certain. */
  public notStoredAnswer (outcome: Exclude<AcceptOutcome, 'durable'>): IFinalAnswer {
    switch (outcome) {
      case 'dropped': return this._refusedAnswer('storeUnavailable', 'the job could not be stored', STORE_RETRY_MS)
      case 'tooLarge': return this._refusedAnswer('infeasible', 'the job is too large to be stored', INFEASIBLE_RETRY_MS)
      default: return { ...this._refusedAnswer('storeUnavailable', IN_DOUBT_DETAIL, STORE_RETRY_MS), outcome: 'unknown' }
    }
  }

  private _refusedAnswer (reason: OutcomeReason, detail: string, retryAfterMs: number): IFinalAnswer {
    const spreadMs = Math.round(retryAfterMs * (1 + this._context.random.next()))
    return { outcome: 'refused', reason, detail, retryAfterMs: spreadMs }
  }
}

/** Serializes the fields in a fixed order, so that a job compares equal after it was stored or sent through another codec. */
function toCanonicalText (job: IJobSpec): string {
  const { jobId, service, caller, longRunning, tasks } = job
  const rows = tasks.map(({ taskId, runMs, resources }) => [taskId, runMs ?? 0, resources.cores, resources.memoryBytes, resources.accelerators])
  return JSON.stringify([jobId, service, caller, longRunning, rows])
}
