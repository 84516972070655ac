/**
 * Example services of two deployments, each with its profile and team. Work that may be repeated uses an idempotent
 * profile; a broadcast and a pivot start use `urgent`, which never runs a request twice.
 */

import { PATIENT_PROFILE, URGENT_PROFILE } from './DefaultProfiles.js'

import type { IProfile, IServiceConfig, ITeamConfig } from './Types.js'

export interface IExampleDeployment {
  readonly profiles: readonly IProfile[]
  readonly services: readonly IServiceConfig[]
  readonly teams: readonly ITeamConfig[]
}

const URGENT_IDEMPOTENT: IProfile = { ...URGENT_PROFILE, name: 'urgent-idempotent', idempotentDefault: true }
const PATIENT_IDEMPOTENT: IProfile = { ...PATIENT_PROFILE, name: 'patient-idempotent', idempotentDefault: true }
const PROFILES: readonly IProfile[] = [URGENT_IDEMPOTENT, PATIENT_IDEMPOTENT]

export const PAWPRINT_EXAMPLE: IExampleDeployment = {
  profiles: PROFILES,
  services: [
    { name: 'chip-lookup', profile: 'urgent-idempotent', team: 'recovery' },
    { name: 'neighbour-broadcast', profile: 'urgent', team: 'alerts' },
    { name: 'sighting-sweep', profile: 'patient-idempotent', team: 'recovery' },
    { name: 'match-model', profile: 'all-at-once', team: 'recovery' }
  ],
  teams: [
    { name: 'recovery', maxSlots: 1000, maxCores: 100_000, maxAccelerators: 1000 },
    { name: 'alerts', maxSlots: 500, maxCores: 10_000, maxAccelerators: 0 }
  ]
}

export const FRASER_EXAMPLE: IExampleDeployment = {
  profiles: PROFILES,
  services: [
    { name: 'pivot-stop', profile: 'urgent-idempotent', team: 'field' },
    { name: 'pivot-start', profile: 'urgent', team: 'field' },
    { name: 'season-budget', profile: 'patient-idempotent', team: 'planning' },
    { name: 'sector-sweep', profile: 'patient-idempotent', team: 'planning' },
    { name: 'season-model', profile: 'all-at-once', team: 'planning' }
  ],
  teams: [
    { name: 'field', maxSlots: 1000, maxCores: 1000, maxAccelerators: 0 },
    { name: 'planning', maxSlots: 500, maxCores: 50_000, maxAccelerators: 1000 }
  ]
}
