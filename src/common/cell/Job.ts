/**
 * A job with its steps and tasks, as its owner holds it. What is owed to whom is decided elsewhere; here stands what is
 * true of the job.
 */

import type { MonotonicMs } from '../Types.js'
import type { StepAdvice } from './StepAdvice.js'
import type { Attempt } from './Attempt.js'
import type { IJobSpec, IQueue, IStepSpec, JobPhase } from './Types.js'

/** What a job keeps of its queue: it goes on under these when the queue is dropped. */
export type QueueTerms = Pick<IQueue, 'name' | 'service' | 'priority' | 'maxAttempts' | 'stretch' | 'targetMs' | 'advice'>

export class Task {
  /** The number of the last run that was recorded or given up. */
  public lastRun = 0
  /** Runs that ended as failed. */
  public failures = 0
  public isDone = false
  public checkpoint = ''
  public attempt: Attempt | undefined
  /** Not to be placed before. */
  public notBeforeMs: MonotonicMs = 0
  /** Hosts on which a run of it has failed or stood still. */
  public readonly avoid = new Set<string>()

  public constructor (public readonly step: Step, public readonly index: number) {}

  public get isIdle (): boolean {
    return !this.isDone && this.attempt === undefined
  }
}

export class Step {
  public readonly tasks: readonly Task[]
  public doneCount = 0
  /** Runs of the gang in which a member failed. */
  public gangFailures = 0
  /** The last run of the gang that counts in `gangFailures`. */
  public lastFailedRun = 0
  public advice: StepAdvice | undefined

  public constructor (public readonly job: Job, public readonly number: number, public readonly spec: IStepSpec) {
    this.tasks = Array.from({ length: spec.count }, (_, index) => new Task(this, index))
  }

  public get isDone (): boolean {
    return this.doneCount >= this.spec.count
  }

  /** Whether all steps that it waits for are done. */
  public get isReady (): boolean {
    return this.spec.after.every((earlier) => this.job.steps[earlier]?.isDone === true)
  }

  /** Whether no run of any of its tasks may exist. */
  public get isQuiet (): boolean {
    return this.tasks.every((task) => task.attempt === undefined)
  }

  public noteDone (task: Task): void {
    if (task.isDone) return
    task.isDone = true
    this.doneCount += 1
  }

  /** A gang ends together: the end of one member as done stands for all. */
  public noteGangDone (): void {
    for (const task of this.tasks) this.noteDone(task)
  }
}

/** Whether the store has the job: on its way there, stored, or given up for certain. */
export type Acceptance = 'pending' | 'stored' | 'withdrawn'

export class Job {
  public acceptance: Acceptance = 'pending'
  public readonly steps: readonly Step[]
  /** What is decided, and what of it the store has: callers are told the latter only. */
  public phase: JobPhase = 'queued'
  public storedPhase: JobPhase = 'queued'
  /** A host has begun a task of it. */
  public hasStarted = false
  public finishedAtMs: MonotonicMs | undefined
  /** Until then the job earns in full. */
  public readonly dueMs: MonotonicMs
  public readonly chainMs: number

  /** @param receivedAtMs when its caller first sent it, by this process's clock */
  public constructor (public readonly spec: IJobSpec, public queue: QueueTerms, public readonly receivedAtMs: MonotonicMs) {
    this.steps = spec.steps.map((step, number) => new Step(this, number, step))
    this.chainMs = longestChainMs(spec.steps, queue)
    this.dueMs = receivedAtMs + queue.stretch * this.chainMs + queue.targetMs
  }

  public get isFinished (): boolean {
    return this.phase === 'completed' || this.phase === 'failed' || this.phase === 'cancelled'
  }

  /** What a caller may be told. */
  public get shownPhase (): JobPhase {
    if (this.storedPhase !== 'queued') return this.storedPhase
    return this.hasStarted ? 'running' : 'queued'
  }

  public get isDone (): boolean {
    return this.steps.every((step) => step.isDone)
  }

  /** Work of all tasks as estimated, in core-seconds. */
  public get coreSeconds (): number {
    return this.spec.steps.reduce((sum, step) => sum + step.count * step.cpuMillicores * step.estimateMs / 1e6, 0)
  }
}

/** The longest chain of steps by estimate, each with its advice. */
function longestChainMs (steps: readonly IStepSpec[], queue: QueueTerms): number {
  const endsMs: number[] = []
  for (const step of steps) {
    const beginsMs = Math.max(0, ...step.after.map((earlier) => endsMs[earlier] ?? 0))
    endsMs.push(beginsMs + (queue.advice?.baseMs ?? 0) + step.estimateMs)
  }
  return Math.max(0, ...endsMs)
}
