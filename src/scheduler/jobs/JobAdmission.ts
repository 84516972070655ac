/**
 * Which jobs are accepted, and how those are answered that are not.
 */

import { add, fits } from './SchedulerChoice.js'

import type { IJobSpec } from '../../common/protocol/Types.js'
import type { IFinalAnswer, IResources, OutcomeReason } from '../../common/Types.js'
import type { IJobOwnerContext } from './Types.js'

type Stored = Awaited<ReturnType<IJobOwnerContext['jobLog']['acceptJob']>>

const STATUS_ACCEPTED = 202
/** An id shard is taken over within a few seconds. */
const OWNER_RETRY_MS = 1000
const STORE_RETRY_MS = 2000
/** The shape of a job that fits nowhere changes only when hosts are added. */
const INFEASIBLE_RETRY_MS = 60_000
const UNSURE_DETAIL = 'it may have been accepted; submit the same id again'
const NOTHING: IResources = { cores: 0, memoryBytes: 0, accelerators: 0 }

export class JobAdmission {
  public constructor (private readonly _context: Pick<IJobOwnerContext, 'config' | 'hosts' | 'random'>) {}

  /**
   * Why a job can never run, if so.
   *
   * Made for jobs larger than any host, by mistake or because the hosts have shrunk. Accepted, they would wait for ever,
   * and an all-at-once one would keep room gathered that others need. Before the host list has been read, nothing is
   * refused for its shape.
   */
  public whyImpossible (job: IJobSpec): IFinalAnswer | undefined {
    const service = this._context.config.service(job.service)
    const profile = service === undefined ? undefined : this._context.config.profile(service.profile)?.profile
    if (profile === undefined) return this._refused('internal', 'this service is not known here yet', OWNER_RETRY_MS)
    const workers = this._context.hosts().filter((host) => host.kind === 'worker' && host.state !== 'gone')
    if (workers.length === 0) return undefined
    const tooLarge = job.tasks.find((task) => !workers.some((host) => fits(task.resources, host.capacity)))
    if (tooLarge !== undefined) return this._refused('infeasible', `no host is large enough for task ${tooLarge.taskId}`, INFEASIBLE_RETRY_MS)
    const total = job.tasks.map((task) => task.resources).reduce(add, NOTHING)
    const capacity = workers.map((host) => host.capacity).reduce(add, NOTHING)
    if (!profile.allAtOnce || fits(total, capacity)) return undefined
    return this._refused('infeasible', 'all hosts together are too small for all its tasks at once', INFEASIBLE_RETRY_MS)
  }

  public isSame (a: IJobSpec, b: IJobSpec): boolean {
    return canonical(a) === canonical(b)
  }

  public accepted (job: IJobSpec): IFinalAnswer {
    const body = Buffer.from(JSON.stringify({ jobId: job.jobId, state: 'accepted' }))
    return { outcome: 'done', status: STATUS_ACCEPTED, contentType: 'application/json', body }
  }

  public notOwner (): IFinalAnswer {
    return this._refused('noUpstream', 'another process owns this job id', OWNER_RETRY_MS)
  }

  public duplicate (): IFinalAnswer {
    return this._refused('duplicate', 'another job has this id', 0)
  }

  /** The log can't be written: say for certain "not accepted" only where that is certain. */
  public notStored (outcome: Exclude<Stored, 'durable'>): IFinalAnswer {
    switch (outcome) {
      case 'dropped': return this._refused('storeUnavailable', 'the job could not be stored', STORE_RETRY_MS)
      case 'tooLarge': return this._refused('infeasible', 'the job is too large to be stored', INFEASIBLE_RETRY_MS)
      default: return { ...this._refused('storeUnavailable', UNSURE_DETAIL, STORE_RETRY_MS), outcome: 'unknown' }
    }
  }

  private _refused (reason: OutcomeReason, detail: string, retryAfterMs: number): IFinalAnswer {
    const spreadMs = Math.round(retryAfterMs * (1 + this._context.random.next()))
    return { outcome: 'refused', reason, detail, retryAfterMs: spreadMs }
  }
}

/** Fields in one order, so that a job that went through the store or another codec compares equal. */
function canonical (job: IJobSpec): string {
  const { jobId, service, caller, longRunning, tasks } = job
  const rows = tasks.map(({ taskId, runMs, resources }) => [taskId, runMs ?? 0, resources.cores, resources.memoryBytes, resources.accelerators])
  return JSON.stringify([jobId, service, caller, longRunning, rows])
}
