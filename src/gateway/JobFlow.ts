/**
 * Carries jobs from a gateway to the scheduler that owns the job's id shard.
 */

import { err, ok } from 'neverthrow'
import * as z from 'zod'

import type { Result } from 'neverthrow'
import type { IBadInput } from '../common/requests/Types.js'
import type { IJobSpec, IJobStatus } from '../common/protocol/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { IPeerLink } from '../peer/Types.js'
import type { IFlowContext } from './Types.js'

const CALL_TIMEOUT_MS = 5000
/** An id shard is taken over within a few seconds. */
const OWNER_RETRY_MS = 1000
const MAX_TASKS = 1000
const MAX_RUN_MS = 30 * 86_400_000

const name = z.string().regex(/^[\x21-\x7e]{1,128}$/, 'must be 1 to 128 printable ASCII characters without spaces')

const resources = z.strictObject({
  cores: z.number().min(0.01).max(1024),
  memoryBytes: z.number().int().min(0).max(2 ** 44),
  accelerators: z.number().int().min(0).max(64)
})

const taskSpec = z.strictObject({
  taskId: name,
  resources,
  runMs: z.number().int().min(1).max(MAX_RUN_MS).optional()
})

const jobSpec = z.strictObject({
  jobId: name,
  service: name,
  caller: name,
  longRunning: z.boolean().default(false),
  tasks: z.array(taskSpec).min(1).max(MAX_TASKS)
    .refine((tasks) => new Set(tasks.map((task) => task.taskId)).size === tasks.length, 'task ids must differ')
})

/** Checks a submitted job; the first fault is told with its path. */
export function parseJob (json: string): Result<IJobSpec, IBadInput> {
  let value: unknown
  try {
    value = JSON.parse(json)
  } catch {
    return err({ status: 400, field: 'body', message: 'is not JSON' })
  }
  const parsed = jobSpec.safeParse(value)
  if (parsed.success) return ok(parsed.data as IJobSpec)
  const issue = parsed.error.issues[0]
  return err({ status: 400, field: issue?.path.join('.') || 'body', message: issue?.message ?? 'is not a job' })
}

export class JobFlow {
  public constructor (private readonly _context: IFlowContext) {}

  /** Accepted means that it is in the store. A repeat of an accepted job id is answered like the first. */
  public async submit (job: IJobSpec): Promise<IFinalAnswer> {
    const link = this._ownerLink(job.jobId)
    if (link === undefined) return this._noOwner('refused')
    const reply = await link.call('submitJob', job, CALL_TIMEOUT_MS)
    return reply.unwrapOr(this._noOwner('unknown'))
  }

  /** Undefined when there is no such job; an answer when the owner can't be asked. */
  public async status (jobId: string): Promise<IJobStatus | IFinalAnswer | undefined> {
    return await this._ask('jobStatus', jobId)
  }

  public async cancel (jobId: string): Promise<IJobStatus | IFinalAnswer | undefined> {
    return await this._ask('cancelJob', jobId)
  }

  private async _ask (call: 'jobStatus' | 'cancelJob', jobId: string): Promise<IJobStatus | IFinalAnswer | undefined> {
    const reply = await this._ownerLink(jobId)?.call(call, { jobId }, CALL_TIMEOUT_MS)
    if (reply === undefined || reply.isErr() || !reply.value.owner) return this._noOwner('refused')
    return reply.value.status
  }

  private _ownerLink (jobId: string): IPeerLink | undefined {
    const owner = this._context.router.ownerOf(this._context.hasher.idShard(jobId))
    return owner === undefined ? undefined : this._context.hub.link(owner)
  }

  private _noOwner (outcome: 'refused' | 'unknown'): IFinalAnswer {
    const detail = outcome === 'refused' ? 'the owner of this job id cannot be reached' : 'the owner of this job id fell silent; submit the same id again'
    return { outcome, reason: 'noUpstream', detail, retryAfterMs: Math.round(OWNER_RETRY_MS * (1 + this._context.random.next())) }
  }
}
