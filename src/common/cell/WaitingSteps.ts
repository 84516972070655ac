/**
 * Keeps why each step that waits for long could not start in the last scheduling pass: for the log, the metrics and the state dump.
 *
 * Explains jobs that wait while hosts are idle. The hosts and the workspaces' limits show what is in use, but not what is kept free for
 * another job.
 */

import type { ILogger } from '../observability/Types.js'
import type { IClock, MonotonicMs } from '../Types.js'
import type { Blocker } from './BlockedSteps.js'
import type { Step } from './Job.js'

/**
 * Where a pass stopped: at the workspace's limit, at the advice, at earlier runs of the gang, or at the room on the hosts. Prepared runs wait
 * until they are in the store (`record`), and then for their `tickets`.
 */
export type WaitStage = 'limit' | 'advice' | 'earlierRuns' | 'room' | 'record' | 'tickets'
/**
 * `limitReserved` and `roomReserved`: there would be enough if nothing were reserved for another job. `hostsPaused`: only hosts have room that
 * fail what they start, or whose runs make no progress.
 */
export type WaitReason = WaitStage | 'limitReserved' | 'roomReserved' | 'hostsPaused'

export interface IWaitCause {
  readonly reason: WaitReason
  /** The jobs that it waits behind. */
  readonly reservedFor?: readonly string[]
  /** Why it couldn't start even if all runs had ended that end by themselves. */
  readonly blocker?: Blocker
}

export interface IWaitingRow extends IWaitCause {
  readonly job: string
  readonly step: number
  readonly queue: string
  readonly workspace: string
  readonly waitMs: number
}

interface IWait {
  readonly sinceMs: MonotonicMs
  /** Undefined until the step has waited for `EXPLAIN_AFTER_MS`. */
  cause: IWaitCause | undefined
  explainedAtMs: MonotonicMs
  loggedAtMs: MonotonicMs
}

/** A step that has waited for less than this, in ms, needs no explanation. */
const EXPLAIN_AFTER_MS = 5000
/** How often the reason is determined, in ms: it takes an iteration over the hosts. */
const EXPLAIN_INTERVAL_MS = 2000
const LOG_INTERVAL_MS = 30_000
/** The most steps that are logged in one go; the others follow. */
const MAX_LINES = 5
const MAX_ROWS = 100

export class WaitingSteps {
  /** Of the last pass. */
  private _waits = new Map<Step, IWait>()
  /** Of the pass that runs. */
  private _nextWaits = new Map<Step, IWait>()

  /** @param _explain the cause, given the stage at which the pass stopped */
  public constructor (
    private readonly _explain: (step: Step, stage: WaitStage) => IWaitCause, private readonly _clock: IClock, private readonly _log: ILogger
  ) {}

  /** To be called once the steps of a scheduling pass have been considered. Forgets the steps that were not recorded since the last call. */
  public endPass (): void {
    this._waits = this._nextWaits
    this._nextWaits = new Map()
  }

  /**
   * Records whether a step has nothing running after it was considered. A pass may consider it more than once: the last time counts.
   *
   * @param stage what kept the pass from placing any of its tasks; undefined if it has placed some, or none is idle
   */
  public recordResult (step: Step, stage?: WaitStage): void {
    const wasOrdered = step.tasks.some(({ attempt }) => attempt?.wasOrdered === true)
    const orderedStage = step.spec.gang ? stage : undefined
    const reached = wasOrdered ? orderedStage : preparedStage(step) ?? stage
    if (reached === undefined) this._nextWaits.delete(step)
    else this._record(step, reached)
  }

  private _record (step: Step, stage: WaitStage): void {
    const nowMs = this._clock.nowMs()
    const wait = this._waits.get(step) ?? { sinceMs: nowMs, cause: undefined, explainedAtMs: -Infinity, loggedAtMs: -Infinity }
    this._nextWaits.set(step, wait)
    if (nowMs - wait.sinceMs < EXPLAIN_AFTER_MS || nowMs - wait.explainedAtMs < EXPLAIN_INTERVAL_MS) return
    wait.cause = this._explain(step, stage)
    wait.explainedAtMs = nowMs
  }

  /** Logs the steps that have waited for long, each of them every `LOG_INTERVAL_MS`. */
  public log (): void {
    const nowMs = this._clock.nowMs()
    let lines = 0
    for (const [step, wait] of this._waits) {
      if (wait.cause === undefined || nowMs - wait.loggedAtMs < LOG_INTERVAL_MS) continue
      wait.loggedAtMs = nowMs
      const { job, step: number, ...row } = rowOf(step, wait.sinceMs, wait.cause, nowMs)
      this._log.info('step.waiting', { requestId: job, step: String(number), ...row })
      lines += 1
      if (lines === MAX_LINES) return
    }
  }

  /** The number of steps that have waited for long, by reason. */
  public counts (): ReadonlyMap<WaitReason, number> {
    const counts = new Map<WaitReason, number>()
    for (const { cause } of this._waits.values()) {
      if (cause !== undefined) counts.set(cause.reason, (counts.get(cause.reason) ?? 0) + 1)
    }
    return counts
  }

  /** The steps that have waited for long, for the state dump. */
  public rows (): readonly IWaitingRow[] {
    const nowMs = this._clock.nowMs()
    const rows = [...this._waits].flatMap(([step, { sinceMs, cause }]) => cause === undefined ? [] : [rowOf(step, sinceMs, cause, nowMs)])
    return rows.slice(0, MAX_ROWS)
  }
}

/** What the prepared runs of the step wait for; undefined if it has none. */
function preparedStage ({ tasks }: Step): WaitStage | undefined {
  let stage: WaitStage | undefined
  for (const { attempt } of tasks) {
    if (attempt?.phase !== 'preparing') continue
    if (attempt.isRecorded) return 'tickets'
    stage = 'record'
  }
  return stage
}

function rowOf ({ job: { spec, queue, workspace }, number }: Step, sinceMs: MonotonicMs, cause: IWaitCause, nowMs: MonotonicMs): IWaitingRow {
  return { job: spec.jobId, step: number, queue: queue.name, workspace, waitMs: Math.round(nowMs - sinceMs), ...cause }
}
