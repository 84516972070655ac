/**
 * Forwards job calls from a gateway to the scheduler that owns the job's id shard.
 */

import { err, ok } from 'neverthrow'
import * as z from 'zod'

import type { Result } from 'neverthrow'
import type { IBadInput } from '../common/requests/Types.js'
import type { IJobSpec, IJobStatus } from '../common/protocol/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { IPeerLink } from '../peer/Types.js'
import type { IForwarderContext } from './Types.js'

const CALL_TIMEOUT_MS = 5000
/** The shortest retry delay while the owner of an id shard is unreachable: a takeover takes a few seconds. */
const OWNER_RETRY_MS = 1000
const MAX_TASKS = 1000
const MAX_RUN_MS = 30 * 86_400_000

const nameSchema = z.string().regex(/^[\x21-\x7e]{1,128}$/, 'must be 1 to 128 printable ASCII characters without spaces')

const resourcesSchema = z.strictObject({
  cores: z.number().min(0.01).max(1024),
  memoryBytes: z.number().int().min(0).max(2 ** 44),
  accelerators: z.number().int().min(0).max(64)
})

const taskSpecSchema = z.strictObject({
  taskId: nameSchema,
  resources: resourcesSchema,
  runMs: z.number().int().min(1).max(MAX_RUN_MS).optional()
})

const jobSpecSchema = z.strictObject({
  jobId: nameSchema,
  service: nameSchema,
  caller: nameSchema,
  longRunning: z.boolean().default(false),
  tasks: z.array(taskSpecSchema).min(1).max(MAX_TASKS)
    .refine((tasks) => new Set(tasks.map((task) => task.taskId)).size === tasks.length, 'task ids must differ')
})

/** Parses and validates a submitted job. The error names the path of the first invalid field. */
export function parseJob (json: string): Result<IJobSpec, IBadInput> {
  let value: unknown
  try {
    value = JSON.parse(json)
  } catch {
    return err({ status: 400, field: 'body', message: 'is not JSON' })
  }
  const parsed = jobSpecSchema.safeParse(value)
  if (parsed.success) return ok(parsed.data as IJobSpec)
  const issue = parsed.error.issues[0]
  return err({ status: 400, field: issue?.path.join('.') || 'body', message: issue?.message ?? 'is not a job' })
}

export class JobForwarder {
  public constructor (private readonly _context: IForwarderContext) {}

  /** The outcome `done` means that the job is stored. Submitting an accepted job id again gets the same answer. */
  public async submit (job: IJobSpec): Promise<IFinalAnswer> {
    const link = this._ownerLink(job.jobId)
    if (link === undefined) return this._noOwnerAnswer('refused')
    const reply = await link.call('submitJob', job, CALL_TIMEOUT_MS)
    return reply.unwrapOr(this._noOwnerAnswer('unknown'))
  }

  /** Returns undefined if there is no such job, and a final answer if the owner can't be reached. */
  public async status (jobId: string): Promise<IJobStatus | IFinalAnswer | undefined> {
    return await this._callOwner('jobStatus', jobId)
  }

  public async cancel (jobId: string): Promise<IJobStatus | IFinalAnswer | undefined> {
    return await this._callOwner('cancelJob', jobId)
  }

  private async _callOwner (call: 'jobStatus' | 'cancelJob', jobId: string): Promise<IJobStatus | IFinalAnswer | undefined> {
    const reply = await this._ownerLink(jobId)?.call(call, { jobId }, CALL_TIMEOUT_MS)
    if (reply === undefined || reply.isErr() || !reply.value.owner) return this._noOwnerAnswer('refused')
    return reply.value.status
  }

  private _ownerLink (jobId: string): IPeerLink | undefined {
    const owner = this._context.router.ownerOf(this._context.hasher.idShard(jobId))
    return owner === undefined ? undefined : this._context.hub.link(owner)
  }

  private _noOwnerAnswer (outcome: 'refused' | 'unknown'): IFinalAnswer {
    const detail = outcome === 'refused'
      ? 'the owner of this job id cannot be reached'
      : 'the owner of this job id did not answer; submit the same id again'
    return { outcome, reason: 'noUpstream', detail, retryAfterMs: Math.round(OWNER_RETRY_MS * (1 + this._context.random.next())) }
  }
}
