/**
 * The hosts that take work in one scheduling pass. Determined once, since it is the same for all steps of the pass.
 *
 * Designed for hundreds of steps that wait in a full cell: each of them finds with a comparison per host that there is no room, before
 * anything else is checked.
 */

import type { HostState } from './HostState.js'
import type { Step } from './Job.js'
import type { IPlacementView } from './Placement.js'

const PASSES = new WeakMap<IPlacementView, PassHosts>()

export class PassHosts {
  private readonly _placeable: HostState[] = []
  private readonly _isPlaceable: ReadonlySet<HostState>

  private constructor (view: IPlacementView) {
    for (const host of view.hosts.values()) {
      if (host.isPlaceable(view.nowMs) && !view.slowHosts.has(host)) this._placeable.push(host)
    }
    this._isPlaceable = new Set(this._placeable)
  }

  public static of (view: IPlacementView): PassHosts {
    let hosts = PASSES.get(view)
    if (hosts === undefined) {
      hosts = new PassHosts(view)
      PASSES.set(view, hosts)
    }
    return hosts
  }

  /** Whether the host could hold a task of the step if it were empty. */
  public canTake (host: HostState, { spec, job }: Step): boolean {
    return this._isPlaceable.has(host) && host.entry.service === job.queue.service && host.couldHold(spec)
  }

  /** The hosts with room for a task of the step, if nothing had to stay free. */
  public withRoom ({ spec, job }: Step): readonly HostState[] {
    const found: HostState[] = []
    for (const host of this._placeable) {
      if (host.hasRoomFor(spec) && host.entry.service === job.queue.service && host.couldHold(spec)) found.push(host)
    }
    return found
  }
}
