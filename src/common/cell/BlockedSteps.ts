/**
 * Decides which steps are blocked: they could not start even if all runs had ended that end by themselves, because of the hosts, the limits
 * or the advice as they are now.
 *
 * A step holds something back from other work only while it isn't blocked: capacity on hosts, the limit of its workspace, calls for advice
 * or the admission of jobs. Designed for a gang that waits when a host is lost: the gang doesn't fit any more, and what is kept free for it
 * would be idle until another host joins. The decision is made again as hosts come and go, so the step takes part again once it can start.
 */

import type { IClock, MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import type { HostState } from './HostState.js'
import type { Step } from './Job.js'
import { urgentHeadroom } from './Placement.js'
import { NO_RESOURCES, addResources, countPlaces, resourcesOf } from './Resources.js'
import type { IResources } from './Resources.js'
import type { WorkspaceUsage } from './WorkspaceUsage.js'

/**
 * What blocks a step. `limit`: its workspace may not run it, or only without the tasks that last; `hosts`: they are too small, too few or
 * occupied by tasks that last; `advice`: the allowed hosts are.
 */
export type Blocker = 'limit' | 'hosts' | 'advice'

export interface IBlockedSteps {
  isBlocked (step: Step): boolean
}

interface ICheck {
  readonly blocker: Blocker | undefined
  readonly atMs: MonotonicMs
}

/** A decision is reused for this long, in ms: for a blocked step it takes an iteration over all hosts, and there may be hundreds of steps. */
const CHECK_INTERVAL_MS = 250
/** If more than this share of the hosts doesn't answer, the cause is with this process or its network, and says nothing about the hosts. */
const MAX_SILENT_SHARE = 1 / 3

export class BlockedSteps implements IBlockedSteps {
  private readonly _checks = new WeakMap<Step, ICheck>()
  private _silentHosts: ReadonlySet<HostState> = new Set()
  private _lastingByWorkspace: ReadonlyMap<string, IResources> = new Map()
  private _refreshedAtMs: MonotonicMs = -Infinity

  public constructor (
    private readonly _hosts: ReadonlyMap<string, HostState>,
    private readonly _usage: WorkspaceUsage,
    private readonly _clock: IClock
  ) {}

  public isBlocked (step: Step): boolean {
    return this.findBlocker(step) !== undefined
  }

  public findBlocker (step: Step): Blocker | undefined {
    const nowMs = this._clock.nowMs()
    const known = this._checks.get(step)
    if (known !== undefined && nowMs - known.atMs < CHECK_INTERVAL_MS) return known.blocker
    const blocker = this._check(step, nowMs)
    this._checks.set(step, { blocker, atMs: nowMs })
    return blocker
  }

  private _check (step: Step, nowMs: MonotonicMs): Blocker | undefined {
    this._refresh(nowMs)
    const { spec, job: { workspace } } = step
    if (this._usage.isLimited(workspace) && !this._usage.couldRun(workspace, spec, this._lastingByWorkspace.get(workspace))) return 'limit'
    const { advice } = step
    const mayUse = ({ hostId }: HostState): boolean => advice === undefined || advice.allows(hostId) || !advice.wasAsked(hostId)
    if (this._fitsOnceFree(step, mayUse)) return undefined
    return advice !== undefined && this._fitsOnceFree(step, () => true) ? 'advice' : 'hosts'
  }

  /** Whether the step fits, once runs have ended, on the hosts that it may use. Hosts that are slow or paused count: they are its last resort. */
  private _fitsOnceFree (step: Step, mayUse: (host: HostState) => boolean): boolean {
    return fitsOnceFree(step, this._hosts.values(), (host) => host.isAccepting && host.couldRun(step) && !this._silentHosts.has(host) && mayUse(host))
  }

  /** Determines what all steps have in common. */
  private _refresh (nowMs: MonotonicMs): void {
    if (nowMs - this._refreshedAtMs < CHECK_INTERVAL_MS) return
    this._refreshedAtMs = nowMs
    const hosts = [...this._hosts.values()]
    this._silentHosts = findSilentHosts(hosts, nowMs)
    this._lastingByWorkspace = sumLastingUse(hosts)
  }
}

/**
 * Whether the step fits on the hosts once the runs there that end by themselves have ended: a gang as a whole, of other steps one task.
 *
 * @param mayUse whether the step may use the host; by default it may use all
 */
export function fitsOnceFree (step: Step, hosts: Iterable<HostState>, mayUse: (host: HostState) => boolean = () => true): boolean {
  let missing = neededPlaces(step)
  for (const host of hosts) {
    if (!mayUse(host)) continue
    missing -= placesOnceFree(step, host)
    if (missing <= 0) return true
  }
  return false
}

function neededPlaces ({ spec }: Step): number {
  return spec.gang ? spec.count : 1
}

function placesOnceFree (step: Step, host: HostState): number {
  if (host.longRunCount === 0) return host.capacityFor(step.spec)
  const lasting: Attempt[] = []
  for (const attempt of host.attempts) if (isLasting(attempt)) lasting.push(attempt)
  if (lasting.length === 0) return host.capacityFor(step.spec)
  const keepFree = lasting.reduce((sum, { task }) => addResources(sum, resourcesOf(task.step.spec)), urgentHeadroom(host, step))
  const places = countPlaces(addResources(host.entry, keepFree, -1), step.spec)
  if (step.spec.maxPerHost === 0) return places
  return Math.min(places, step.spec.maxPerHost - lasting.filter(({ task }) => task.step === step).length)
}

/** Whether the run ends only when its job is cancelled. A run on a host that doesn't answer ends with its lease at the latest. */
function isLasting ({ phase, task }: Attempt): boolean {
  return task.step.spec.longRunning && phase !== 'stopping'
}

/** The hosts that don't answer; if too many don't, only those whose entry is gone as well. */
function findSilentHosts (hosts: readonly HostState[], nowMs: MonotonicMs): ReadonlySet<HostState> {
  const silent = hosts.filter((host) => host.isSilent(nowMs))
  const listedCount = hosts.filter(({ isListed }) => isListed).length
  const listedSilentCount = silent.filter(({ isListed }) => isListed).length
  if (listedSilentCount <= listedCount * MAX_SILENT_SHARE) return new Set(silent)
  return new Set(silent.filter(({ isListed }) => !isListed))
}

/** What each workspace uses for runs that don't end by themselves. */
function sumLastingUse (hosts: readonly HostState[]): ReadonlyMap<string, IResources> {
  const used = new Map<string, IResources>()
  for (const host of hosts) {
    if (host.longRunCount === 0) continue
    for (const attempt of host.attempts) {
      if (!isLasting(attempt)) continue
      const { job: { workspace }, spec } = attempt.task.step
      used.set(workspace, addResources(used.get(workspace) ?? NO_RESOURCES, resourcesOf(spec)))
    }
  }
  return used
}
