/**
 * Finds and stops stalled runs. A host may keep a task that makes no progress while it answers as if it were healthy, and the job
 * would never end. The progress that the host reports reveals it.
 *
 * Designed for stragglers that take seven times their estimate on hosts that may be six times slower for a while, and for hosts of
 * which all runs stand still for some seconds, a fourteenth of them at a time. A straggler continues. The runs of a host that hangs
 * continue if it recovers sooner than a restart would have brought them as far again: stopping one member stops its whole gang, and
 * its work on all other hosts is lost.
 */

import type { ILogger } from '../observability/Types.js'
import type { IClock, MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import type { HostState } from './HostState.js'
import type { Step } from './Job.js'
import { URGENT_PRIORITY } from './Placement.js'
import { runLogFields } from './RunController.js'
import type { RunController } from './RunController.js'

/** A run is stalled only after no progress for at least this long, in ms: two polls and a round trip. */
const MIN_STALL_MS = 2500
/** A run is stalled only after this share of its estimate without progress. */
const STALL_SHARE = 0.3
/** How many times as long as estimated the slowest straggler takes: seven times, on a host of speed 0.6 that is six times slower. */
const MAX_SLOWDOWN = 70
const PERCENT_SHARE = 0.01
/** A run may take this many times as long for a percent as it did on average: its host may have become six times slower. */
const MAX_PACE_FACTOR = 8
/** A run stands still if a list that is requested this much later, in ms, shows the same percentage. A busy host is polled every second. */
const STILL_MS = 900
/** A run stands still only after so many times its usual time for a percent. */
const STILL_PERCENTS = 2
/** A host that hangs gets no work for this long, in ms, after each list that shows it. */
const HANG_PAUSE_MS = 1200
/** If more than this share of the hosts seem to hang, something else delays their reports, and none of them is excluded. */
const MAX_HANGING_SHARE = 0.34
/** A host with a run that was stopped as stalled gets no work for this long, in ms. */
const STALLED_PAUSE_MS = 8000
/** The time to load a checkpoint, in ms. */
const RESTORE_MS = 600
/** How long a task waits for free capacity, in ms, in a cell that is three quarters full. Gangs need it on many hosts at once. */
const URGENT_WAIT_MS = 300
const TASK_WAIT_MS = 2000
const GANG_WAIT_MS = 5000
/** A host that hangs for longer than this, in ms, is taken for broken, however much work its runs have done. */
const MAX_HANG_MS = 10_000

export class StalledRuns {
  /** When each host was last seen to hang. */
  private readonly _hungAtMs = new WeakMap<HostState, MonotonicMs>()

  public constructor (private readonly _runs: RunController, private readonly _clock: IClock, private readonly _log: ILogger) {}

  /** Stops the stalled runs. Their tasks are placed again, on other hosts if possible. */
  public stopStalled (hosts: readonly HostState[]): void {
    const nowMs = this._clock.nowMs()
    const hanging = findHanging(hosts, nowMs)
    for (const host of hanging) this._recordHanging(host, hanging.size <= hosts.length * MAX_HANGING_SHARE, nowMs)
    for (const host of hosts) {
      for (const attempt of [...host.attempts]) this._stopIfStalled(attempt, hanging, nowMs)
    }
  }

  private _recordHanging (host: HostState, isPaused: boolean, nowMs: MonotonicMs): void {
    const before = this._hungAtMs.get(host)
    this._hungAtMs.set(host, nowMs)
    if (!host.isInContact(nowMs)) return
    if (isPaused) host.pausePlacement(nowMs + HANG_PAUSE_MS)
    if (before !== undefined && nowMs - before < HANG_PAUSE_MS) return
    this._log.warn('host.hanging', { host: host.hostId, runs: host.attempts.size, isPaused })
  }

  private _stopIfStalled (attempt: Attempt, hanging: ReadonlySet<HostState>, nowMs: MonotonicMs): void {
    if (!isComparable(attempt) || attempt.stillMs <= MIN_STALL_MS) return
    const { step } = attempt.task
    const limitMs = stallLimitMs(attempt)
    const hosts = hostsOf(attempt)
    const isHanging = hosts.some((host) => hanging.has(host))
    const restartMs = Math.round(restartCostMs(attempt))
    if (attempt.stillMs <= (isHanging ? Math.max(limitMs, restartMs) : limitMs)) return
    // The time for which a host hung doesn't count once it has recovered: a straggler needs a while for its next percent.
    const hungAtMs = Math.max(...hosts.map((host) => this._hungAtMs.get(host) ?? -Infinity))
    if (!isHanging && nowMs - hungAtMs <= limitMs) return
    const inputs = { percent: attempt.percent, stillMs: Math.round(attempt.stillMs), limitMs: Math.round(limitMs), restartMs, isHanging }
    this._log.warn('run.stalled', { ...runLogFields(attempt), ...inputs })
    attempt.task.avoidedHosts.add(attempt.host.hostId)
    attempt.host.pausePlacement(nowMs + STALLED_PAUSE_MS)
    if (step.spec.gang) this._runs.stopStep(step, 'stalled')
    else this._runs.stop(attempt, 'stalled')
  }
}

/**
 * The hosts that hang: they don't answer, or all their runs stand still. The members of a gang wait for each other, so a gang that
 * stands still says something of a host only if no other host of it is known to hang.
 */
function findHanging (hosts: readonly HostState[], nowMs: MonotonicMs): ReadonlySet<HostState> {
  const hanging = new Set<HostState>()
  const undecided: HostState[] = []
  for (const host of hosts) {
    const runs = [...host.attempts].filter(isComparable)
    if (runs.length === 0) continue
    const single = runs.filter(({ task }) => !task.step.spec.gang)
    if (!host.isInContact(nowMs)) hanging.add(host)
    else if (single.some(isStill) && !runs.some(isProgressing)) hanging.add(host)
    else if (single.length === 0 && runs.some(isStill) && !runs.some(isProgressing)) undecided.push(host)
  }
  const known = new Set(hanging)
  for (const host of undecided) {
    const isExplained = [...host.attempts].filter(isStill).every((attempt) => hostsOf(attempt).some((each) => known.has(each)))
    if (!isExplained) hanging.add(host)
  }
  return hanging
}

/** Whether the progress of the run says anything. A host is asked for it while the run may still end. */
function isComparable ({ phase, percent, task }: Attempt): boolean {
  return phase === 'running' && percent < 100 && !task.step.spec.longRunning
}

function isStill (attempt: Attempt): boolean {
  return attempt.stillMs > Math.max(STILL_MS, percentMs(attempt) * STILL_PERCENTS)
}

function isProgressing ({ percent, stillMs }: Attempt): boolean {
  return percent > 0 && stillMs < STILL_MS
}

/** How long the run takes for a percent, by its progress so far. Before it has reported any, it may be the slowest straggler. */
function percentMs (attempt: Attempt): number {
  const { percent, percentAtMs, startedAtMs, task } = attempt
  const estimatedMs = task.step.spec.estimateMs * PERCENT_SHARE
  if (!hasPace(attempt)) return estimatedMs * MAX_SLOWDOWN
  return Math.max(estimatedMs, (percentAtMs - startedAtMs) / percent)
}

/** Whether the run has reported progress since this owner started it. */
function hasPace ({ percent, isInherited }: Attempt): boolean {
  return percent > 0 && !isInherited
}

function stallLimitMs (attempt: Attempt): number {
  const leastMs = Math.max(MIN_STALL_MS, attempt.task.step.spec.estimateMs * STALL_SHARE)
  if (hasPace(attempt)) return Math.max(leastMs, percentMs(attempt) * MAX_PACE_FACTOR)
  return Math.max(leastMs, Math.min(MAX_HANG_MS, percentMs(attempt)))
}

/** How long it would take until another run is as far: the work since the last checkpoint, and the wait for advice and free capacity. */
function restartCostMs (attempt: Attempt): number {
  const { step } = attempt.task
  const { spec, job: { queue } } = step
  const checkpointAtMs = Math.max(...runsWith(attempt).map((run) => run.checkpointAtMs))
  const isCheckpointed = spec.checkpointing && checkpointAtMs > -Infinity
  const lostMs = isCheckpointed ? RESTORE_MS + attempt.percentAtMs - checkpointAtMs : attempt.percentAtMs - attempt.startedAtMs
  const waitMs = spec.gang ? GANG_WAIT_MS : queue.priority === URGENT_PRIORITY ? URGENT_WAIT_MS : TASK_WAIT_MS
  return Math.min(MAX_HANG_MS, Math.max(0, lostMs) + (queue.advice?.baseMs ?? 0) + waitMs)
}

/** The runs that wait for each other: those of a gang, or the run itself. */
function runsWith (attempt: Attempt): readonly Attempt[] {
  const { step }: { readonly step: Step } = attempt.task
  return step.spec.gang ? step.tasks.flatMap((task) => task.attempt ?? []) : [attempt]
}

function hostsOf (attempt: Attempt): readonly HostState[] {
  return [...new Set(runsWith(attempt).map(({ host }) => host))]
}
