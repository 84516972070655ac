/**
 * The state of a job with its steps and tasks, as its owner holds it. Scheduling decisions are made elsewhere.
 */

import type { MonotonicMs } from '../Types.js'
import type { StepAdvice } from './StepAdvice.js'
import type { Attempt } from './Attempt.js'
import type { IJobSpec, IQueue, IStepSpec, JobPhase } from './Types.js'

/** The queue settings that a job keeps. They still apply if the queue is removed from the configuration. */
export type QueueTerms = Pick<IQueue, 'name' | 'service' | 'priority' | 'maxAttempts' | 'stretch' | 'targetMs' | 'advice'>

/** The most tasks of a job. */
export const MAX_TASKS = 10_000

export class Task {
  /** The number of the last run that was recorded or dropped. */
  public lastRun = 0
  /** The number of runs that ended as failed. */
  public failures = 0
  public isDone = false
  public checkpoint = ''
  public attempt: Attempt | undefined
  /** The task is not placed before this time. */
  public notBeforeMs: MonotonicMs = 0
  /** Runs that were given up before their end was known. */
  public readonly lostRuns = new Set<number>()
  /** Hosts on which a run of the task has failed or stalled. */
  public readonly avoidedHosts = new Set<string>()

  public constructor (public readonly step: Step, public readonly index: number) {}

  public get isIdle (): boolean {
    return !this.isDone && this.attempt === undefined
  }

  /** Whether it lasts, and has run before. */
  public get isRestart (): boolean {
    return this.step.spec.longRunning && this.isIdle && this.lastRun > 0
  }

  /** Whether its job fails for good if its next run does. */
  public get isLastAttempt (): boolean {
    const { spec, job } = this.step
    return !spec.longRunning && this.failures + 1 >= job.queue.maxAttempts
  }
}

export class Step {
  public readonly tasks: readonly Task[]
  public doneCount = 0
  /** The number of runs of the gang in which a member failed. */
  public gangFailures = 0
  /** The last run of the gang that `gangFailures` counts. */
  public lastFailedRun = 0
  public advice: StepAdvice | undefined

  public constructor (public readonly job: Job, public readonly number: number, public readonly spec: IStepSpec) {
    this.tasks = Array.from({ length: spec.count }, (_, index) => new Task(this, index))
  }

  public get isDone (): boolean {
    return this.doneCount >= this.spec.count
  }

  /** Whether all steps that it depends on are done. */
  public get isReady (): boolean {
    return this.spec.after.every((earlier) => this.job.steps[earlier]?.isDone === true)
  }

  /** Whether none of its tasks has a run that may exist. */
  public get hasNoRuns (): boolean {
    return this.tasks.every((task) => task.attempt === undefined)
  }

  /**
   * Whether a task that lasts has to be started again. Its callers have had it, and miss it at once, while other work would take what its last
   * run has left free.
   */
  public get hasRestart (): boolean {
    return this.spec.longRunning && this.tasks.some((task) => task.isRestart)
  }

  public markDone (task: Task): void {
    if (task.isDone) return
    task.isDone = true
    this.doneCount += 1
  }

  /** Marks the whole gang as done: its members end together, so if one of them is done, all are. */
  public markGangDone (): void {
    for (const task of this.tasks) this.markDone(task)
  }
}

/** Whether the store has the job: it is being written, it is stored, or it certainly never will be. */
export type Acceptance = 'pending' | 'stored' | 'withdrawn'

export class Job {
  public acceptance: Acceptance = 'pending'
  public readonly steps: readonly Step[]
  /** The decided phase and the stored one. Only the stored phase is reported to callers. */
  public phase: JobPhase = 'queued'
  public storedPhase: JobPhase = 'queued'
  /** Whether a host has started one of its tasks. */
  public hasStarted = false
  public finishedAtMs: MonotonicMs | undefined
  /** Whether its workspace had used up its share when it was accepted. */
  public isBeyondShare = false
  /** Whether its workspace had used up its share of the work when it was accepted, while there was not enough for all. */
  public isBeyondWorkShare = false
  /** The job's objective: it earns its full value if it completes by then. */
  public readonly dueMs: MonotonicMs
  public readonly chainMs: number

  /**
   * @param receivedAtMs when the caller first sent the job, on this process's clock
   * @param workspace the name of the workspace that submitted it; empty if its queue needs no key
   */
  public constructor (
    public readonly spec: IJobSpec, public queue: QueueTerms, public readonly receivedAtMs: MonotonicMs, public readonly workspace = ''
  ) {
    this.steps = spec.steps.map((step, number) => new Step(this, number, step))
    this.chainMs = longestChainMs(spec.steps, queue)
    this.dueMs = receivedAtMs + queue.stretch * this.chainMs + queue.targetMs
  }

  public get isFinished (): boolean {
    return this.phase === 'completed' || this.phase === 'failed' || this.phase === 'cancelled'
  }

  /** Whether callers of the workspace may read and cancel the job. */
  public isOpenTo (workspace: string): boolean {
    return this.workspace === '' || this.workspace === workspace
  }

  /** The number of tasks in all steps. */
  public get taskCount (): number {
    return this.steps.reduce((sum, step) => sum + step.tasks.length, 0)
  }

  /** The phase to report to callers. */
  public get reportedPhase (): JobPhase {
    if (this.storedPhase !== 'queued') return this.storedPhase
    return this.hasStarted ? 'running' : 'queued'
  }

  public get isDone (): boolean {
    return this.steps.every((step) => step.isDone)
  }

  /** The estimated work of all tasks, in core-seconds. */
  public get coreSeconds (): number {
    return this.spec.steps.reduce((sum, step) => sum + step.count * step.cpuMillicores * step.estimateMs / 1e6, 0)
  }
}

/** The length of the longest chain of dependent steps, by their estimates and the time of their advice calls. */
function longestChainMs (steps: readonly IStepSpec[], queue: QueueTerms): number {
  const endsMs: number[] = []
  for (const step of steps) {
    const beginsMs = Math.max(0, ...step.after.map((earlier) => endsMs[earlier] ?? 0))
    endsMs.push(beginsMs + (queue.advice?.baseMs ?? 0) + step.estimateMs)
  }
  return Math.max(0, ...endsMs)
}
