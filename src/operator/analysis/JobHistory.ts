/**
 * Derives the history of each job from the logs of a cell: the answer to its caller, its end, and the time that each part took.
 */

import type { ILogEvent } from './LogEvents.js'

/** How a job ended, as far as the logs show. */
export type JobFate = 'inTime' | 'late' | 'failed' | 'cancelled' | 'unfinished' | 'refused' | 'inDoubt'

/** The time that each part of a job took, in ms. A part is undefined if the job did not reach it or if log lines are missing. */
export interface IJobTimes {
  readonly untilAcceptedMs?: number
  readonly adviceMs?: number
  /** From acceptance or advice, whichever came last, until the first run was placed on a host. */
  readonly roomMs?: number
  /** From the placement of the first run until its order was sent; in between, the run is recorded and gets its ticket. */
  readonly recordMs?: number
  /** From the end of each step's last run until the first order of the next step, summed over all steps. */
  readonly betweenStepsMs?: number
  /** From the end of the last run until the end of the job is stored and can be reported. */
  readonly tellMs?: number
}

export interface IJobHistory {
  readonly jobId: string
  readonly queue: string
  /** Empty if its queue needs no key, or if the job was never accepted. */
  readonly workspace: string
  /** When the caller first submitted the job. */
  readonly sentAtMs: number
  readonly fate: JobFate
  /** Why the last submission was refused or in doubt. */
  readonly reason: string
  readonly times: IJobTimes
}

interface IStepInterval {
  firstOrderMs: number
  lastEndMs: number
}

/** Collects the log lines of one job and computes its history. */
class JobHistoryBuilder {
  public queue = ''
  public workspace = ''
  public sentAtMs = Infinity
  public outcome = ''
  public reason = ''
  public acceptedAtMs: number | undefined
  public adviceAtMs: number | undefined
  public adviceMs: number | undefined
  public firstRecordMs: number | undefined
  public finished: { readonly atMs: number, readonly phase: string, readonly ageMs: number, readonly objectiveMs: number } | undefined
  public readonly steps = new Map<string, IStepInterval>()

  public constructor (public readonly jobId: string) {}

  public addEvent ({ atMs, event, fields }: ILogEvent): void {
    switch (event) {
      case 'caller.answered': return this._addAnswer(atMs, fields)
      case 'job.accepted':
        this.queue = textOf(fields.queue)
        this.workspace = textOf(fields.workspace)
        this.acceptedAtMs ??= atMs
        return
      case 'advice.answered':
        this.adviceAtMs ??= atMs
        this.adviceMs ??= numberOf(fields.waitMs)
        return
      case 'run.ordered': {
        const recordMs = numberOf(fields.recordMs)
        this.firstRecordMs ??= recordMs
        const step = this._getStep(fields)
        step.firstOrderMs = Math.min(step.firstOrderMs, atMs - numberOf(fields.durationMs))
        return
      }
      case 'run.ended':
        if (fields.end === 'done') this._getStep(fields).lastEndMs = atMs
        return
      case 'job.finished':
        this.finished = { atMs, phase: textOf(fields.phase), ageMs: numberOf(fields.ageMs), objectiveMs: numberOf(fields.objectiveMs) }
    }
  }

  public build (): IJobHistory {
    const { jobId, queue, workspace, sentAtMs, reason } = this
    return { jobId, queue, workspace, sentAtMs, fate: this._determineFate(), reason, times: this._computeTimes() }
  }

  private _addAnswer (atMs: number, fields: ILogEvent['fields']): void {
    this.queue = textOf(fields.queue)
    this.sentAtMs = Math.min(this.sentAtMs, atMs - numberOf(fields.durationMs))
    if (this.outcome === 'accepted') return
    this.outcome = textOf(fields.outcome)
    this.reason = textOf(fields.reason)
  }

  private _getStep (fields: ILogEvent['fields']): IStepInterval {
    const [stepNumber = ''] = textOf(fields.task).split('.')
    let step = this.steps.get(stepNumber)
    if (step === undefined) {
      step = { firstOrderMs: Infinity, lastEndMs: -Infinity }
      this.steps.set(stepNumber, step)
    }
    return step
  }

  private _determineFate (): JobFate {
    if (this.finished !== undefined) {
      const { phase, ageMs, objectiveMs } = this.finished
      if (phase === 'failed' || phase === 'cancelled') return phase
      return ageMs <= objectiveMs ? 'inTime' : 'late'
    }
    if (this.outcome === 'accepted' || this.acceptedAtMs !== undefined) return 'unfinished'
    return this.outcome === 'inDoubt' ? 'inDoubt' : 'refused'
  }

  private _computeTimes (): IJobTimes {
    const { acceptedAtMs, adviceAtMs, adviceMs, firstRecordMs, finished, sentAtMs } = this
    const steps = [...this.steps.values()].filter((step) => Number.isFinite(step.firstOrderMs)).sort((a, b) => a.firstOrderMs - b.firstOrderMs)
    const [first] = steps
    const lastEndMs = Math.max(...steps.map((step) => step.lastEndMs))
    const readyAtMs = Math.max(acceptedAtMs ?? -Infinity, adviceAtMs ?? -Infinity)
    let betweenStepsMs = 0
    steps.forEach((step, index) => {
      const previousStep = steps[index - 1]
      if (previousStep !== undefined) betweenStepsMs += Math.max(0, step.firstOrderMs - previousStep.lastEndMs)
    })
    return {
      ...(acceptedAtMs === undefined ? {} : { untilAcceptedMs: Math.max(0, acceptedAtMs - sentAtMs) }),
      ...(adviceMs === undefined ? {} : { adviceMs }),
      ...(first === undefined || firstRecordMs === undefined || !Number.isFinite(readyAtMs)
        ? {}
        : { roomMs: Math.max(0, first.firstOrderMs - firstRecordMs - readyAtMs), recordMs: firstRecordMs }),
      ...(Number.isFinite(betweenStepsMs) && steps.length > 1 ? { betweenStepsMs } : {}),
      ...(finished === undefined || !Number.isFinite(lastEndMs) ? {} : { tellMs: Math.max(0, finished.atMs - lastEndMs) })
    }
  }
}

/** Returns the histories of all jobs that callers have submitted, ordered by the first submission. */
export function jobHistories (events: readonly ILogEvent[]): readonly IJobHistory[] {
  const jobs = new Map<string, JobHistoryBuilder>()
  for (const event of events) {
    const jobId = textOf(event.fields.requestId)
    if (jobId === '') continue
    let job = jobs.get(jobId)
    if (job === undefined) {
      job = new JobHistoryBuilder(jobId)
      jobs.set(jobId, job)
    }
    job.addEvent(event)
  }
  return [...jobs.values()].map((job) => job.build()).filter(({ sentAtMs }) => Number.isFinite(sentAtMs)).sort((a, b) => a.sentAtMs - b.sentAtMs)
}

export function textOf (value: unknown): string {
  return typeof value === 'string' ? value : ''
}

export function numberOf (value: unknown): number {
  return typeof value === 'number' ? value : 0
}
