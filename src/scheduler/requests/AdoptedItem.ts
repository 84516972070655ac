/**
 * Stands in the engine for an attempt that an earlier owner of the shard dispatched and that still runs.
 */

import type { IProfile } from '../../common/config/Types.js'
import type { IWorkItem } from '../../common/policy/Types.js'
import type { MonotonicMs } from '../../common/Types.js'

const ADOPTED = 'adopted'

/** Counts against no caller's share: whose it is, only the earlier owner knew. */
const ADOPTED_PROFILE: IProfile = {
  name: ADOPTED,
  priorityClass: 'normal',
  deadlineMs: 86_400_000,
  floorShare: 0,
  weight: 1,
  maxRunning: 1_000_000,
  allAtOnce: false,
  spread: 'none',
  crossRegion: 'never',
  crossRegionGainMs: 0,
  maxRetries: 0,
  preemptible: false,
  idempotentDefault: false
}

export function adoptedItem (itemId: string, nowMs: MonotonicMs): IWorkItem {
  return {
    id: itemId,
    caller: ADOPTED,
    service: ADOPTED,
    team: ADOPTED,
    profile: ADOPTED_PROFILE,
    resources: { cores: 1, memoryBytes: 0, accelerators: 0 },
    arrivedAtMs: nowMs,
    deadlineAtMs: Infinity,
    idempotent: false
  }
}
