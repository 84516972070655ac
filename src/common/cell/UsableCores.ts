/**
 * How much work the cell can do.
 */

import type { MonotonicMs } from '../Types.js'
import type { HostState } from './HostState.js'

/** An owner that has just taken over doesn't know the hosts. Until this share of them has answered, their capacity isn't known. */
const MIN_ANSWERED_SHARE = 2 / 3
const MILLICORES_PER_CORE = 1000

/** The processors of the hosts that can take work, in cores; undefined until enough hosts have answered. */
export function usableCores (hosts: Iterable<HostState>, nowMs: MonotonicMs): number | undefined {
  let listed = 0
  let answered = 0
  let millicores = 0
  for (const host of hosts) {
    if (!host.isListed) continue
    listed += 1
    if (host.hasClock) answered += 1
    if (host.isPlaceable(nowMs)) millicores += host.entry.cpuMillicores
  }
  return answered < listed * MIN_ANSWERED_SHARE || listed === 0 ? undefined : millicores / MILLICORES_PER_CORE
}
