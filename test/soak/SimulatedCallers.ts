/**
 * The callers of a soak, in several workspaces. They submit jobs, repeat a submission that was not accepted under the same id, cancel some
 * jobs, and query the state of all accepted ones.
 */

import { Agent, request } from 'undici'
import { CALLER_HOST, QUEUE_PREFIXES } from '../../platform/standins/PlatformStandIn.js'
import { pickRandom } from './pickRandom.js'

import type { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import type { SeededRandom } from '../../src/common/Random.js'
import type { IController } from '../support/ControllerCell.js'
import type { ICheckedJob, InvariantChecker } from './InvariantChecker.js'

type QueueName = keyof typeof QUEUE_PREFIXES

const MAX_TRIES = 6
const CALL_TIMEOUT_MS = 3000
const CANCEL_SHARE = 0.08
const RETRY_PAUSE_MS = 250
/** The share of jobs of the first workspace, which sends far more than the others. */
const HOT_SHARE = 0.6
/** The share of accepted jobs that callers of another workspace try to read. */
const FOREIGN_READ_SHARE = 0.1

/** The counts and sizes of the wide second steps of jobs: each takes about five whole hosts of the soak. */
const WIDE_STEPS = [[24, 800], [40, 500], [60, 330]] as const
const WIDE_GANG_SHARE = 0.5
/** The share of wide steps that are not gangs and may have only a few tasks on one host. */
const SPREAD_SHARE = 0.2
/** The share of jobs that can never run, because no host has their label or none is allowed. */
const NEVER_RUNS_SHARE = 0.02
const MISSING_LABEL = 'no-host-has-this-label'

interface IAnswer { readonly status: number, readonly body: string }

export class SimulatedCallers {
  /** Keeps connections open until the controller's process has ended, as real callers do. */
  private readonly _agent = new Agent({ keepAliveTimeout: 60_000, connections: 8 })
  private readonly _openSubmissions = new Set<Promise<void>>()
  private _lastNumber = 0
  public submitted = 0
  public accepted = 0

  public constructor (
    private readonly _controllers: readonly IController[],
    private readonly _platform: PlatformStandIn,
    private readonly _checker: InvariantChecker,
    private readonly _random: SeededRandom,
    /** The share of jobs in the queue `night`, whose second step is wide. */
    private readonly _nightShare = 0
  ) {}

  /** Submits one job without waiting for the answer. */
  public submit (): void {
    const submission = this._submit().catch((error: unknown) => { this._checker.violations.push(`caller: ${String(error)}`) })
    this._openSubmissions.add(submission)
    submission.finally(() => { this._openSubmissions.delete(submission) }).catch(() => {})
  }

  public async waitForSubmissions (): Promise<void> {
    while (this._openSubmissions.size > 0) await Promise.all(this._openSubmissions)
  }

  /** Queries the state of a job at a random controller; undefined if the controller doesn't return it. */
  public async queryState (jobId: string, queue: QueueName): Promise<string | undefined> {
    const answer = await this._call('GET', QUEUE_PREFIXES[queue] + jobId, this._checker.jobs.get(jobId)?.workspace)
    if (answer?.status === 410) {
      this._checker.recordUnknownJob(jobId)
      return undefined
    }
    if (answer?.status !== 200) return undefined
    const { state } = JSON.parse(answer.body) as { readonly state: string }
    this._checker.recordState(jobId, state)
    return state
  }

  public readonly queues = new Map<string, QueueName>()

  public async close (): Promise<void> {
    await this._agent.destroy()
  }

  private async _submit (): Promise<void> {
    this.submitted += 1
    const { job, queue, body } = this._createJob()
    this._checker.jobs.set(job.jobId, job)
    this.queues.set(job.jobId, queue)
    const cancels = this._random.next() < CANCEL_SHARE
    for (let attempt = 0; attempt < MAX_TRIES && !job.accepted; attempt += 1) {
      await this._trySubmit(job, queue, body)
      if (!job.accepted) await pause(RETRY_PAUSE_MS)
    }
    if (!job.accepted) return
    this.accepted += 1
    if (this._random.next() < FOREIGN_READ_SHARE) await this._readAsOther(job, queue)
    if (cancels) await this._cancel(job, queue)
    else await this.queryState(job.jobId, queue)
  }

  private async _trySubmit (job: ICheckedJob, queue: QueueName, body: string): Promise<void> {
    const wasPossiblyAccepted = job.isPossiblyAccepted
    job.isPossiblyAccepted = true
    const answer = await this._call('POST', QUEUE_PREFIXES[queue] + job.jobId, job.workspace, body)
    if (answer?.status === 200) job.accepted = true
    if (answer?.status === 503 || answer?.status === 429) {
      job.refusedSubmissions += 1
      job.isPossiblyAccepted = wasPossiblyAccepted
    }
  }

  private async _cancel (job: ICheckedJob, queue: QueueName): Promise<void> {
    await pause(this._random.next() * 500)
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
      // The job may be cancelled from here on, whatever the answer. Later starts are violations only after an acknowledged cancel.
      job.cancelledAtMs ??= Infinity
      const answer = await this._call('DELETE', QUEUE_PREFIXES[queue] + job.jobId, job.workspace)
      if (answer?.status === 200) {
        job.cancelledAtMs = performance.now()
        return
      }
      await pause(RETRY_PAUSE_MS)
    }
  }

  private async _readAsOther ({ jobId, workspace }: ICheckedJob, queue: QueueName): Promise<void> {
    const other = this._platform.workspaces.find(({ name }) => name !== workspace)
    const answer = await this._call('GET', QUEUE_PREFIXES[queue] + jobId, other?.name)
    if (answer?.status === 200) this._checker.reportForeignRead(jobId)
  }

  /** Draws a workspace whose limit the need doesn't exceed. */
  private _drawWorkspace (needCpu: number): string {
    const names = this._platform.workspaces.filter(({ maxCpu }) => maxCpu >= needCpu).map(({ name }) => name)
    const number = this._random.next() < HOT_SHARE ? 0 : Math.floor(this._random.next() * names.length)
    return names[number] ?? ''
  }

  private _createJob (): { readonly job: ICheckedJob, readonly queue: QueueName, readonly body: string } {
    this._lastNumber += 1
    const queue = this._drawQueue()
    const [wideCount, wideCpu] = pickRandom(this._random, WIDE_STEPS)
    const gang = queue === 'wide' || (queue === 'night' && this._random.next() < WIDE_GANG_SHARE)
    const cpu = queue === 'night' ? wideCpu : gang ? 1500 : 500
    const count = 1 + Math.floor(this._random.next() * 3)
    const counts = queue === 'night' ? [count, wideCount] : queue === 'batch' ? [count, 1] : [count]
    const jobId = (BigInt(this._lastNumber) * 0x9e3779b97f4a7c15n & 0xffffffffffffffffn).toString(16).padStart(16, '0')
    const isAdvised = queue !== 'batch'
    const neverRuns = this._nightShare > 0 && this._random.next() < NEVER_RUNS_SHARE
    const lacksLabel = neverRuns && (!isAdvised || this._random.next() < 0.5)
    if (gang) counts.forEach((size, step) => { this._platform.gangs.register(`${jobId}.0.${step}`, size) })
    this._platform.advicePolicy.registerJob(jobId, queue, neverRuns && !lacksLabel)
    const isSpread = queue === 'night' && !gang && this._random.next() < SPREAD_SHARE
    const common = {
      cpu,
      memMb: 100,
      estimateMs: 300,
      ...(gang ? { gang } : {}),
      ...(isSpread ? { maxPerServer: 3 } : {}),
      ...(lacksLabel ? { requiredLabel: MISSING_LABEL } : {})
    }
    const steps = counts.map((each, step) => ({ ...common, count: each, ...(step > 0 ? { after: [step - 1] } : {}) }))
    const workspace = this._drawWorkspace(cpu * Math.max(...counts))
    const job: ICheckedJob = {
      jobId, gang, cpu, counts, workspace, isAdvised, neverRuns, accepted: false, isPossiblyAccepted: false, refusedSubmissions: 0
    }
    return { job, queue, body: JSON.stringify({ spec: `job ${this._lastNumber}`, steps }) }
  }

  private _drawQueue (): QueueName {
    if (this._random.next() < this._nightShare) return 'night'
    const draw = this._random.next()
    return draw < 0.6 ? 'urgent' : draw < 0.85 ? 'batch' : 'wide'
  }

  /** Calls a random controller; undefined if no complete answer arrives. */
  private async _call (method: 'GET' | 'POST' | 'DELETE', path: string, workspace: string | undefined, body?: string): Promise<IAnswer | undefined> {
    const controller = this._controllers[Math.floor(this._random.next() * this._controllers.length)]
    if (controller?.urls === undefined) return undefined
    const key = this._platform.workspaces.find(({ name }) => name === workspace)?.keys[0] ?? ''
    try {
      const answer = await request(controller.urls.callers + path, {
        method,
        dispatcher: this._agent,
        headers: {
          host: CALLER_HOST,
          'content-type': 'application/json',
          'x-jackdawreel-deadline': String(CALL_TIMEOUT_MS),
          'x-jackdawreel-credential': key
        },
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS,
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
