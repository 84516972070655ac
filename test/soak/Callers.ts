/**
 * Callers of a soak: hand in jobs, again under the same id where the answer leaves it open, cancel some, and ask for all.
 */

import { Agent, request } from 'undici'
import { CALLER_HOST, QUEUE_PREFIXES } from '../../platform/standins/PlatformStandIn.js'

import type { SeededRandom } from '../../src/common/Random.js'
import type { IController } from '../support/ControllerCell.js'
import type { IJudgedJob, Judge } from './Judge.js'

type QueueName = keyof typeof QUEUE_PREFIXES

const TRIES = 6
const TRY_TIMEOUT_MS = 3000
const CANCEL_SHARE = 0.08
const RETRY_MS = 250

interface IAnswer { readonly status: number, readonly body: string }

export class Callers {
  /** Connections stay open until the process at the other end is gone, as callers keep theirs. */
  private readonly _agent = new Agent({ keepAliveTimeout: 60_000, connections: 8 })
  private readonly _waiting = new Set<Promise<void>>()
  private _next = 0
  public submitted = 0
  public accepted = 0

  public constructor (
    private readonly _controllers: readonly IController[], private readonly _judge: Judge, private readonly _random: SeededRandom
  ) {}

  /** Hands in one job, without waiting for its answer. */
  public submit (): void {
    const work = this._submit().catch((error: unknown) => { this._judge.violations.push(`caller: ${String(error)}`) })
    this._waiting.add(work)
    work.finally(() => { this._waiting.delete(work) }).catch(() => {})
  }

  public async settled (): Promise<void> {
    while (this._waiting.size > 0) await Promise.all(this._waiting)
  }

  /** The state of a job as one of the controllers tells it; absent if none does. */
  public async state (jobId: string, queue: QueueName): Promise<string | undefined> {
    const answer = await this._call('GET', QUEUE_PREFIXES[queue] + jobId)
    if (answer?.status === 410) {
      this._judge.noteUnknown(jobId)
      return undefined
    }
    if (answer?.status !== 200) return undefined
    const { state } = JSON.parse(answer.body) as { readonly state: string }
    this._judge.noteState(jobId, state)
    return state
  }

  public readonly queues = new Map<string, QueueName>()

  public async close (): Promise<void> {
    await this._agent.destroy()
  }

  private async _submit (): Promise<void> {
    this.submitted += 1
    const { job, queue, body } = this._draw()
    this._judge.jobs.set(job.jobId, job)
    this.queues.set(job.jobId, queue)
    const cancels = this._random.next() < CANCEL_SHARE
    for (let attempt = 0; attempt < TRIES && !job.accepted; attempt += 1) {
      await this._try(job, queue, body)
      if (!job.accepted) await pause(RETRY_MS)
    }
    if (!job.accepted) return
    this.accepted += 1
    if (cancels) await this._cancel(job, queue)
    else await this.state(job.jobId, queue)
  }

  private async _try (job: IJudgedJob, queue: QueueName, body: string): Promise<void> {
    const before = job.maybeTaken
    job.maybeTaken = true
    const answer = await this._call('POST', QUEUE_PREFIXES[queue] + job.jobId, body)
    if (answer?.status === 200) job.accepted = true
    if (answer?.status === 503 || answer?.status === 429) {
      job.refusedTries += 1
      job.maybeTaken = before
    }
  }

  private async _cancel (job: IJudgedJob, queue: QueueName): Promise<void> {
    await pause(this._random.next() * 500)
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      // Whatever the answer, from here on it may be cancelled; a start counts only after an acknowledgement.
      job.cancelledAtMs ??= Infinity
      const answer = await this._call('DELETE', QUEUE_PREFIXES[queue] + job.jobId)
      if (answer?.status === 200) {
        job.cancelledAtMs = performance.now()
        return
      }
      await pause(RETRY_MS)
    }
  }

  private _draw (): { readonly job: IJudgedJob, readonly queue: QueueName, readonly body: string } {
    this._next += 1
    const draw = this._random.next()
    const queue: QueueName = draw < 0.6 ? 'urgent' : draw < 0.85 ? 'batch' : 'wide'
    const gang = queue === 'wide'
    const cpu = gang ? 1500 : 500
    const counts = queue === 'batch' ? [1 + Math.floor(this._random.next() * 3), 1] : [1 + Math.floor(this._random.next() * 3)]
    const jobId = (BigInt(this._next) * 0x9e3779b97f4a7c15n & 0xffffffffffffffffn).toString(16).padStart(16, '0')
    const steps = counts.map((count, step) =>
      ({ count, cpu, memMb: 100, estimateMs: 300, ...(step > 0 ? { after: [step - 1] } : {}), ...(gang ? { gang } : {}) }))
    const job: IJudgedJob = { jobId, gang, cpu, counts, accepted: false, maybeTaken: false, refusedTries: 0 }
    return { job, queue, body: JSON.stringify({ spec: `job ${this._next}`, steps }) }
  }

  /** Nothing where no whole answer came. */
  private async _call (method: 'GET' | 'POST' | 'DELETE', path: string, body?: string): Promise<IAnswer | undefined> {
    const controller = this._controllers[Math.floor(this._random.next() * this._controllers.length)]
    if (controller?.urls === undefined) return undefined
    try {
      const answer = await request(controller.urls.callers + path, {
        method,
        dispatcher: this._agent,
        headers: { host: CALLER_HOST, 'content-type': 'application/json', 'x-jackdawreel-deadline': String(TRY_TIMEOUT_MS) },
        headersTimeout: TRY_TIMEOUT_MS,
        bodyTimeout: TRY_TIMEOUT_MS,
        ...(body === undefined ? {} : { body })
      })
      return { status: answer.statusCode, body: await answer.body.text() }
    } catch {
      return undefined
    }
  }
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, ms) })
}
