/**
 * Decides which hosts take which work in one scheduling pass. Determined once, since it is the same for all steps of the pass.
 *
 * A host may be kept from work because it fails what it starts, its runs make no progress, or it is slow. The one exception is for a step
 * that the other hosts couldn't run even if their runs had ended: it may use all hosts in service. A host that fails gets no more than a
 * trial even then. So no work waits for longer than a pause while hosts that can run it are in service, however many are kept from work.
 *
 * Designed for hundreds of steps that wait in a full cell: each of them finds with a comparison per host that there is no room, before
 * anything else is checked.
 */

import { fitsOnceFree } from './BlockedSteps.js'
import type { ITrialTask } from './HostBreaker.js'
import type { HostState } from './HostState.js'
import type { Step } from './Job.js'
import type { IPlacementView } from './Placement.js'

const PASSES = new WeakMap<IPlacementView, PassHosts>()

export class PassHosts {
  /** The hosts that take any work. */
  private readonly _regular = new Set<HostState>()
  /** The hosts whose breaker is half open, without a trial so far. */
  private readonly _halfOpen: HostState[] = []
  /** The other hosts that would carry out an order. */
  private readonly _heldBack: HostState[] = []
  private readonly _hostsByStep = new Map<Step, ReadonlySet<HostState>>()

  private constructor (private readonly _view: IPlacementView) {
    const { nowMs, slowHosts } = _view
    for (const host of _view.hosts.values()) {
      const isPlaceable = host.isPlaceable(nowMs) && !slowHosts.has(host)
      if (isPlaceable && host.breaker.isClosed) this._regular.add(host)
      else if (isPlaceable && !host.hasTrial) this._halfOpen.push(host)
      else if (host.isReachable(nowMs)) this._heldBack.push(host)
    }
  }

  public static of (view: IPlacementView): PassHosts {
    let hosts = PASSES.get(view)
    if (hosts === undefined) {
      hosts = new PassHosts(view)
      PASSES.set(view, hosts)
    }
    return hosts
  }

  /** Whether the host takes tasks of the step and could hold one if it were empty. */
  public canTake (host: HostState, step: Step): boolean {
    return this._hostsOf(step).has(host) && host.couldRun(step)
  }

  /** The hosts with room for a task of the step, if nothing had to stay free. */
  public withRoom (step: Step): readonly HostState[] {
    const found: HostState[] = []
    for (const host of this._hostsOf(step)) {
      if (host.hasRoomFor(step.spec) && host.couldRun(step)) found.push(host)
    }
    return found
  }

  /** Further hosts that a gang may use for which these have no room, as their trial. */
  public gangTrialHosts (step: Step): readonly HostState[] {
    return this.trialHosts().filter((host) => host.couldRun(step) && this._admitsGang(host, step, 'noRoom'))
  }

  /** The hosts that fail and have no trial. */
  public trialHosts (): readonly HostState[] {
    return [...this._halfOpen, ...this._heldBack.filter((host) => !host.breaker.isClosed && !host.hasTrial)]
  }

  /** Whether the hosts that take any work couldn't run the step even if their runs had ended: a gang as a whole, of other steps one task. */
  public needsAllHosts (step: Step): boolean {
    return this._hostsOf(step) !== this._regular
  }

  private _hostsOf (step: Step): ReadonlySet<HostState> {
    if (this._halfOpen.length === 0 && this._heldBack.length === 0) return this._regular
    let hosts = this._hostsByStep.get(step)
    if (hosts === undefined) {
      const isFit = fitsOnceFree(step, this._regular, (host) => host.couldRun(step) && isAllowed(host, step))
      hosts = isFit ? this._regular : new Set([...this._regular, ...this._lastResort(step)])
      this._hostsByStep.set(step, hosts)
    }
    return hosts
  }

  /** A gang is the trial of all failing hosts that it uses. Single tasks are given to them one by one, apart from the pass. */
  private _lastResort (step: Step): readonly HostState[] {
    return [...this._halfOpen, ...this._heldBack].filter((host) => host.breaker.isClosed || (step.spec.gang && this._admitsGang(host, step, 'none')))
  }

  private _admitsGang (host: HostState, { job, gangFailures }: Step, others: ITrialTask['others']): boolean {
    return !host.hasTrial && host.breaker.admitsTrial({ others, isLastAttempt: gangFailures + 1 >= job.queue.maxAttempts }, this._view.nowMs)
  }
}

function isAllowed (host: HostState, { job, advice }: Step): boolean {
  return job.queue.advice === undefined || advice?.allows(host.hostId) === true
}
