/**
 * Creates the engine item of an attempt that an earlier owner of the shard dispatched and that still runs.
 */

import type { IProfile } from '../../common/config/Types.js'
import type { IWorkItem } from '../../common/policy/Types.js'
import type { MonotonicMs } from '../../common/Types.js'

const ADOPTED_NAME = 'adopted'

/** Counts against no caller's share, because only the earlier owner knew the caller. */
const ADOPTED_PROFILE: IProfile = {
  name: ADOPTED_NAME,
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

export function createAdoptedItem (itemId: string, nowMs: MonotonicMs): IWorkItem {
  return {
    id: itemId,
    caller: ADOPTED_NAME,
    service: ADOPTED_NAME,
    team: ADOPTED_NAME,
    profile: ADOPTED_PROFILE,
    resources: { cores: 1, memoryBytes: 0, accelerators: 0 },
    arrivedAtMs: nowMs,
    deadlineAtMs: Infinity,
    idempotent: false
  }
}
