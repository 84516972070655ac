/**
 * The profiles of a new cell. They treat a request as non-idempotent unless its caller says otherwise, so that no request
 * runs twice by default.
 */

import type { IProfile } from './Types.js'

const SECOND_MS = 1000
const MINUTE_MS = 60 * SECOND_MS

/** Starts as soon as a slot is free, before all other classes. The deadline is short, because a late answer is useless. */
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

/** May wait for minutes and yields to urgent work, but keeps a guaranteed share of the capacity under any load. */
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

/** For jobs whose tasks start together or not at all. */
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
