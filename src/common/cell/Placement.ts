/**
 * Chooses hosts for the tasks of one step. Pure: it computes a plan from what is known of the hosts.
 *
 * It is designed for a cell that is four fifths full before any burst, with wide gangs that fit on a few of the hosts, medium
 * batch steps, and short urgent tasks that have to start immediately.
 */

import type { MonotonicMs } from '../Types.js'
import type { IRunForecast } from './HostForecast.js'
import type { HostState } from './HostState.js'
import type { Step, Task } from './Job.js'
import { PassHosts } from './PassHosts.js'
import { NO_RESOURCES } from './Resources.js'
import type { IResources } from './Resources.js'
import type { StepAdvice } from './StepAdvice.js'

export interface IPlacement {
  readonly task: Task
  readonly host: HostState
}

export interface IPlacementView {
  readonly nowMs: MonotonicMs
  readonly hosts: ReadonlyMap<string, HostState>
  /** How many times as long a task takes on a host away from its data. */
  readonly farFactor: number
  /** Hosts that get no work at present because they are too slow. */
  readonly slowHosts: ReadonlySet<HostState>
  readonly times: IRunForecast
  /** The resources on a host that the step has to leave free. */
  headroom (host: HostState, step: Step): IResources
  /** Whether resources on the host are reserved for waiting gangs. */
  hasReservation (host: HostState): boolean
}

/**
 * The share of a host's processors that only the most urgent work may use. Urgent tasks are small and short: with this share free
 * on each host they start immediately in a full cell, where they would otherwise wait for a batch task to end.
 */
const URGENT_SHARE = 0.1
/** The priority of the most urgent queues. */
export const URGENT_PRIORITY = 0

/**
 * The resources that a step has to leave free for urgent work. Gangs and restarts of tasks that last are exempt, and the headroom shrinks
 * for a task that needs nearly all of a host: otherwise such work might never fit, however empty the cell is.
 */
export function urgentHeadroom (host: HostState, step: Step): IResources {
  if (step.job.queue.priority === URGENT_PRIORITY || step.spec.gang || step.hasRestart) return NO_RESOURCES
  const { cpuMillicores } = host.entry
  return { memoryMb: 0, accelerators: 0, cpuMillicores: Math.max(0, Math.min(cpuMillicores * URGENT_SHARE, cpuMillicores - step.spec.cpuMillicores)) }
}

/** The hosts on which a task of the step may start, regardless of free resources. */
export function eligibleHosts (step: Step, view: IPlacementView): readonly HostState[] {
  const passHosts = PassHosts.of(view)
  const eligible: HostState[] = []
  for (const host of candidateHosts(step, view)) if (passHosts.canTake(host, step) && mayUse(step, host, view)) eligible.push(host)
  return eligible
}

function mayUse ({ job, advice }: Step, host: HostState, view: IPlacementView): boolean {
  return job.queue.advice === undefined || isAdvised(advice, host, view.nowMs)
}

/** Whether the host takes work now, and could hold a task of the step if it were empty. */
export function canTake (host: HostState, step: Step, nowMs: MonotonicMs): boolean {
  return host.couldRun(step) && host.isPlaceable(nowMs)
}

function candidateHosts (step: Step, view: IPlacementView): Iterable<HostState> {
  if (step.job.queue.advice === undefined) return view.hosts.values()
  return allowedHosts(step, view.hosts)
}

/** The hosts that the advice service allows for the step, whether or not they can take work now. */
export function allowedHosts (step: Step, hosts: ReadonlyMap<string, HostState>): readonly HostState[] {
  const allowed: HostState[] = []
  for (const hostId of step.advice?.allowedHostIds() ?? []) {
    const host = hosts.get(hostId)
    if (host !== undefined) allowed.push(host)
  }
  return allowed
}

/**
 * While tickets for allowed hosts are being requested, or shortly after a request has failed, only hosts with a valid ticket count:
 * otherwise calls would pile up.
 */
function isAdvised (advice: StepAdvice | undefined, host: HostState, nowMs: MonotonicMs): boolean {
  if (advice?.allows(host.hostId) !== true) return false
  return (!advice.hasTicketCalls && nowMs >= advice.retryAtMs) || advice.findTicket(host.hostId, host.bornMs, nowMs) !== undefined
}

/** Plans a host for each idle task for which there is one. */
export function planTasks (step: Step, tasks: readonly Task[], view: IPlacementView): readonly IPlacement[] {
  const places = findPlaces(step, PassHosts.of(view).withRoom(step), view)
  const hosts = inCandidateOrder(step, places, view)
  const capacity = new RemainingCapacity(step, hosts, places, view)
  const plan: IPlacement[] = []
  for (const task of tasks) {
    const host = capacity.bestHost(task)
    if (host === undefined) continue
    capacity.addTask(host)
    plan.push({ task, host })
  }
  return plan
}

/** Whether a task of the step has a place now on a host that takes it. */
export function hasPlace (step: Step, view: IPlacementView): boolean {
  return PassHosts.of(view).withRoom(step).some((host) => hasPlaceOn(host, step, view))
}

/** Whether the step may start a task on the host now, whether or not the host takes work. */
export function hasPlaceOn (host: HostState, step: Step, view: IPlacementView): boolean {
  return host.hasRoomFor(step.spec) && mayUse(step, host, view) && countPlacesOn(host, step, view) > 0
}

/** The eligible hosts with room for tasks of the step, and how many fit on each. */
type Places = ReadonlyMap<HostState, number>

function findPlaces (step: Step, hosts: readonly HostState[], view: IPlacementView): Places {
  const found = new Map<HostState, number>()
  for (const host of hosts) {
    if (!mayUse(step, host, view)) continue
    const places = countPlacesOn(host, step, view)
    if (places > 0) found.set(host, places)
  }
  return found
}

function countPlacesOn (host: HostState, step: Step, view: IPlacementView): number {
  const { spec } = step
  const places = host.placesFor(spec, view.headroom(host, step))
  if (places === 0 || spec.maxPerHost === 0) return places
  return Math.max(0, Math.min(places, spec.maxPerHost - runsOfStepOn(step, host)))
}

function totalPlaces (places: Places): number {
  let sum = 0
  for (const count of places.values()) sum += count
  return sum
}

/** The hosts with room, in the order of the candidates: the first of equally good ones is used. */
function inCandidateOrder (step: Step, places: Places, view: IPlacementView): readonly HostState[] {
  if (places.size <= 1 || step.job.queue.advice === undefined) return [...places.keys()]
  return allowedHosts(step, view.hosts).filter((host) => places.has(host))
}

/** Plans hosts for all tasks of a gang, or returns undefined. */
export function planGang (step: Step, view: IPlacementView): readonly IPlacement[] | undefined {
  const passHosts = PassHosts.of(view)
  const places = findPlaces(step, passHosts.withRoom(step), view)
  if (totalPlaces(places) >= step.tasks.length) return planWhole(step, eligibleHosts(step, view), places, view)
  const trialHosts = passHosts.gangTrialHosts(step).filter((host) => mayUse(step, host, view))
  if (trialHosts.length === 0) return undefined
  const withTrials = new Map([...places, ...findPlaces(step, trialHosts.filter((host) => host.hasRoomFor(step.spec)), view)])
  if (totalPlaces(withTrials) < step.tasks.length) return undefined
  return planWhole(step, [...new Set([...eligibleHosts(step, view), ...trialHosts])], withTrials, view)
}

function planWhole (step: Step, hosts: readonly HostState[], places: Places, view: IPlacementView): readonly IPlacement[] | undefined {
  if (!step.spec.sameRack) return planTogether(step, hosts, places, view)
  const racks = [...new Set(hosts.map((host) => host.entry.rack))]
  for (const rack of racks) {
    const plan = planTogether(step, hosts.filter((host) => host.entry.rack === rack), places, view)
    if (plan !== undefined) return plan
  }
  // Spreading the gang over several racks is slower, but better than waiting for one rack that may never have the capacity.
  return planTogether(step, hosts, places, view)
}

/**
 * Plans the gang on hosts of similar speed, if there are enough. Its members wait for the slowest one, so that on faster hosts processors
 * would be idle. Of the plans that end in time, the one with the least idle processor time is chosen, else the one that ends soonest.
 */
function planTogether (
  step: Step, hosts: readonly HostState[], places: Places, view: IPlacementView
): readonly IPlacement[] | undefined {
  const classes = [...new Set(hosts.map(speedClass))].sort((a, b) => a - b)
  // Where the distance to the data decides about run times, speeds don't.
  if (classes.length <= 1 || step.spec.preferredRack !== '') return planOn(step, hosts, places, view)
  const spareMs = spareTimeMs(step, view.nowMs)
  let best: readonly IPlacement[] | undefined
  let bestCost = Infinity
  for (const lowest of classes) {
    const plan = planOn(step, hosts.filter((host) => speedClass(host) >= lowest), places, view, classSpeed(lowest))
    // Fewer hosts have no more room.
    if (plan === undefined) break
    const ranMs = step.spec.estimateMs / Math.min(...plan.map(({ host }) => host.speed))
    const avoided = plan.filter(({ task, host }) => task.avoidedHosts.has(host.hostId)).length
    const idleShare = plan.reduce((sum, { host }) => sum + host.speed / classSpeed(lowest) - 1, 0) / plan.length
    const cost = avoided * AVOIDED_COST + (ranMs <= spareMs ? idleShare : ranMs + LATE_COST)
    if (cost <= bestCost) {
      best = plan
      bestCost = cost
    }
  }
  return best
}

/** Hosts of one class differ by less than a quarter in speed. */
function speedClass (host: HostState): number {
  return Math.round(Math.log(host.speed) / SPEED_CLASS_LOG)
}

function classSpeed (number: number): number {
  return Math.exp(number * SPEED_CLASS_LOG)
}

/** @param gangSpeed the speed at which the members of a gang progress together; the hosts that are hardly faster are used first */
function planOn (
  step: Step, hosts: readonly HostState[], places: Places, view: IPlacementView, gangSpeed?: number
): readonly IPlacement[] | undefined {
  const capacity = new RemainingCapacity(step, hosts, places, view, gangSpeed)
  if (capacity.totalPlaces() < step.tasks.length) return undefined
  const plan: IPlacement[] = []
  for (const task of step.tasks) {
    const host = capacity.bestHost(task)
    if (host === undefined) return undefined
    capacity.addTask(host)
    plan.push({ task, host })
  }
  return plan
}

/** A host with room while a plan is made. */
interface ICandidate {
  readonly host: HostState
  /** The number of tasks that still fit. */
  left: number
  /** The number of tasks that the plan has on the host. */
  used: number
  /** The score of a task that avoids no host: it changes only with the tasks on the host. */
  score: number
}

/** The number of tasks of a step that still fit on each host while a plan is made. */
class RemainingCapacity {
  private readonly _candidates = new Map<HostState, ICandidate>()

  public constructor (
    private readonly _step: Step, hosts: readonly HostState[], places: Places, private readonly _view: IPlacementView,
    private readonly _gangSpeed?: number
  ) {
    for (const host of hosts) {
      const left = places.get(host) ?? 0
      if (left > 0) this._candidates.set(host, { host, left, used: 0, score: this._score(host, 0) })
    }
  }

  public totalPlaces (): number {
    let sum = 0
    for (const { left } of this._candidates.values()) sum += left
    return sum
  }

  public addTask (host: HostState): void {
    const candidate = this._candidates.get(host)
    if (candidate === undefined) return
    candidate.left -= 1
    candidate.used += 1
    if (candidate.left === 0) this._candidates.delete(host)
    else candidate.score = this._score(host, candidate.used)
  }

  /**
   * The host on which the task would end soonest. Among equal hosts, one with a valid ticket is preferred, then the fullest one,
   * so that free capacity for wide tasks stays together.
   */
  public bestHost (task: Task): HostState | undefined {
    let best: HostState | undefined
    let bestScore = Infinity
    const isLastAttempt = task.isLastAttempt && !this._step.spec.gang
    for (const { host, used, score: usualScore } of this._candidates.values()) {
      if (isLastAttempt && host.breaker.hasFailedLately(this._view.nowMs)) continue
      const score = task.avoidedHosts.has(host.hostId) ? this._score(host, used, this._step.spec.estimateMs * 10 + 10_000) : usualScore
      if (score < bestScore) {
        best = host
        bestScore = score
      }
    }
    return best
  }

  /** The run time on the host. For a member of a gang, a host that is faster than the gang counts as slower: it would be idle for a part of it. */
  private _workMs (host: HostState): number {
    const { estimateMs } = this._step.spec
    if (this._gangSpeed === undefined) return estimateMs / host.speed
    return estimateMs * (1 / Math.min(host.speed, this._gangSpeed) + Math.max(0, host.speed / this._gangSpeed - SIMILAR_SPEED))
  }

  private _score (host: HostState, tasks: number, avoidMs = 0): number {
    const { spec, job, advice } = this._step
    const isFar = spec.preferredRack !== '' && spec.preferredRack !== host.entry.rack
    const workMs = this._workMs(host) * (isFar ? this._view.farFactor : 1)
    const adviceMs = job.queue.advice === undefined || advice?.findTicket(host.hostId, host.bornMs, this._view.nowMs) !== undefined
      ? 0
      : job.queue.advice.baseMs
    const reservedMs = !spec.gang && this._view.hasReservation(host) ? spec.estimateMs * RESERVED_WEIGHT : 0
    const freeShare = (host.freeCpu - tasks * spec.cpuMillicores) / Math.max(1, host.entry.cpuMillicores)
    return workMs + adviceMs + avoidMs + reservedMs + freeShare * spec.estimateMs * TIGHT_FIT_WEIGHT
  }
}

/** The part of the time to its objective that a task may take. The rest is for errors of its estimate and for runs that are repeated. */
const OBJECTIVE_SHARE = 0.5

/** How long a run of the step may take, at most, for its job to meet its objective with some margin. */
function spareTimeMs ({ job, spec, number }: Step, nowMs: MonotonicMs): number {
  let restMs = 0
  for (const step of job.steps) if (!step.isDone && step.number > number) restMs += step.spec.estimateMs
  return (job.dueMs - nowMs) * OBJECTIVE_SHARE * spec.estimateMs / Math.max(1, spec.estimateMs + restMs)
}

/** The logarithm of the ratio of neighbouring classes of speed. */
const SPEED_CLASS_LOG = Math.log(1.25)
/** Up to this ratio of speeds, other differences between hosts count more. */
const SIMILAR_SPEED = 1.125
/** Added to the cost of a plan that ends late, in ms, and for each host on which the task has failed: more than the other parts of the cost. */
const LATE_COST = 1000
const AVOIDED_COST = 1e7

/** The penalty of a host with resources reserved for gangs, as a share of the task's estimate: urgent tasks are small and have many other hosts. */
const RESERVED_WEIGHT = 0.3
/** The weight of a host's free share, as a share of the task's estimate: just enough to decide between otherwise equal hosts. */
const TIGHT_FIT_WEIGHT = 0.1

function runsOfStepOn (step: Step, host: HostState): number {
  let runs = 0
  for (const task of step.tasks) if (task.attempt?.host === host) runs += 1
  return runs
}
