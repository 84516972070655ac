/**
 * The profiles that a new cell starts with. All count a request that doesn't say as non-idempotent: by omission
 * nothing is ever done twice.
 */

import type { IProfile } from './Types.js'

const SECOND_MS = 1000
const MINUTE_MS = 60 * SECOND_MS

/** Starts as soon as a place is free, before all other classes; given up soon, because a late answer is of no use. */
export const URGENT_PROFILE: IProfile = {
  name: 'urgent',
  priorityClass: 'urgent',
  deadlineMs: 5 * SECOND_MS,
  floorShare: 0.1,
  weight: 1,
  maxRunning: 100_000,
  allAtOnce: false,
  spread: 'none',
  crossRegion: 'whenWorthIt',
  crossRegionGainMs: 100,
  maxRetries: 2,
  preemptible: false,
  idempotentDefault: false
}

/** May wait for minutes, gives way to urgent work, and has a share of the capacity that no flood takes from it. */
export const PATIENT_PROFILE: IProfile = {
  name: 'patient',
  priorityClass: 'patient',
  deadlineMs: 10 * MINUTE_MS,
  floorShare: 0.2,
  weight: 1,
  maxRunning: 100_000,
  allAtOnce: false,
  spread: 'none',
  crossRegion: 'whenWorthIt',
  crossRegionGainMs: 30 * SECOND_MS,
  maxRetries: 3,
  preemptible: true,
  idempotentDefault: false
}

/** Jobs whose tasks start together or not at all. */
export const ALL_AT_ONCE_PROFILE: IProfile = {
  name: 'all-at-once',
  priorityClass: 'normal',
  deadlineMs: 60 * MINUTE_MS,
  floorShare: 0.1,
  weight: 1,
  maxRunning: 100_000,
  allAtOnce: true,
  spread: 'none',
  crossRegion: 'never',
  crossRegionGainMs: 0,
  maxRetries: 2,
  preemptible: false,
  idempotentDefault: false
}

export const DEFAULT_PROFILES: readonly IProfile[] = [URGENT_PROFILE, PATIENT_PROFILE, ALL_AT_ONCE_PROFILE]
