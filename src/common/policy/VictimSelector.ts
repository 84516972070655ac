/**
 * Selects the running items to stop so that an urgent item can start.
 */

import { addInto, fits, zeroResources } from './Resources.js'

import type { IResources, MonotonicMs } from '../Types.js'
import type { IProfile } from '../config/Types.js'
import type { IRunningItem, LedgerHost } from './CapacityLedger.js'
import type { IWorkItem } from './Types.js'

/** Urgent work waits this long for capacity to become free before others are stopped, since a stop discards the work done. */
export const PREEMPT_AFTER_MS = 100

/** The most hosts compared to find the cheapest stop. */
const MAX_HOSTS_TRIED = 64

/** The most items stopped for one item; more would discard too much work. */
const MAX_VICTIMS = 8

/** Whether the profile keeps its floor when it loses `resources`. */
export type FloorTest = (profile: IProfile, resources: IResources) => boolean

export class VictimSelector {
  private readonly _preemptible = new Map<LedgerHost, Set<IRunningItem>>()

  public recordStart (running: IRunningItem): void {
    if (!running.item.profile.preemptible) return
    const items = this._preemptible.get(running.host) ?? new Set<IRunningItem>()
    items.add(running)
    this._preemptible.set(running.host, items)
  }

  public recordEnd (running: IRunningItem): void {
    const items = this._preemptible.get(running.host)
    items?.delete(running)
    if (items?.size === 0) this._preemptible.delete(running.host)
  }

  /**
   * Returns the items to stop for `item`, all on one host, or none.
   *
   * When hosts are filled with long patient tasks, nothing may become free within the deadline of an urgent item. Of the
   * hosts compared, the one that loses the least run time is chosen, and on a host the youngest items first. No profile
   * is brought below its floor; otherwise a stream of urgent work would starve it by preemption.
   */
  public choose (item: IWorkItem, need: IResources, nowMs: MonotonicMs, keepsFloor: FloorTest): readonly IRunningItem[] {
    let best: readonly IRunningItem[] = []
    let bestLostMs = Infinity
    let tried = 0
    for (const [host, items] of this._preemptible) {
      tried += 1
      if (tried > MAX_HOSTS_TRIED) break
      if (!host.config.accepting || item.avoidHostIds?.includes(host.hostId) === true) continue
      const victims = victimsOn(host, items, need, keepsFloor)
      const lostMs = victims.reduce((sum, victim) => sum + nowMs - victim.startedAtMs, 0)
      if (victims.length === 0 || lostMs >= bestLostMs) continue
      best = victims
      bestLostMs = lostMs
    }
    return best
  }
}

function victimsOn (host: LedgerHost, items: ReadonlySet<IRunningItem>, need: IResources, keepsFloor: FloorTest): readonly IRunningItem[] {
  const available = { ...host.free() }
  const lost = zeroResources()
  const victims: IRunningItem[] = []
  for (const running of [...items].reverse()) {
    if (victims.length >= MAX_VICTIMS) return []
    if (running.isStopping || running.item.profile.priorityClass === 'urgent') continue
    addInto(lost, running.counted)
    if (!keepsFloor(running.item.profile, lost)) return []
    victims.push(running)
    addInto(available, running.counted)
    if (fits(need, available)) return victims
  }
  return []
}
