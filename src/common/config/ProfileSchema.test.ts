/**
 * The validation of configuration, and the encoding of its entries.
 */

import test from 'ava'
import fc from 'fast-check'
import { decodeEntry, encodeEntry } from './ConfigCodec.js'
import { ConfigInvalidError } from './ConfigInvalidError.js'
import { DEFAULT_PROFILES, URGENT_PROFILE } from './DefaultProfiles.js'
import { FRASER_EXAMPLE, PAWPRINT_EXAMPLE } from './ExampleServices.js'
import { CONFIG_KINDS, checkConfigValue } from './ProfileSchema.js'

const SEED = 20_261_202

test('the default profiles and the examples are valid, and the examples refer to existing profiles and teams', t => {
  for (const profile of DEFAULT_PROFILES) t.true(checkConfigValue('profile', profile.name, profile).isOk())
  for (const example of [PAWPRINT_EXAMPLE, FRASER_EXAMPLE]) {
    const profiles = [...DEFAULT_PROFILES, ...example.profiles].map(profile => profile.name)
    for (const service of example.services) {
      t.true(checkConfigValue('service', service.name, service).isOk())
      t.true(profiles.includes(service.profile), service.name)
      t.true(example.teams.some(team => team.name === service.team), service.name)
    }
    for (const team of example.teams) t.true(checkConfigValue('team', team.name, team).isOk())
  }
})

test('an error names all invalid fields at once', t => {
  const { weight, ...rest } = URGENT_PROFILE
  const value = { ...rest, deadlineMs: 5, floorShare: Number.NaN, priorityClass: 'fast', speed: 9, name: 'other' }
  const error = checkConfigValue('profile', 'urgent', value)._unsafeUnwrapErr()
  t.deepEqual(error.problems.map(problem => problem.field).sort(), ['deadlineMs', 'floorShare', 'priorityClass', 'speed', 'weight'])
  t.true(error.message.includes('deadlineMs must be a whole number of milliseconds from 10 to 86400000'))
  t.is(checkConfigValue('profile', 'urgent', { ...URGENT_PROFILE, name: 'other' })._unsafeUnwrapErr().field, 'name')
})

test('any value passes or gives an error that lists problems, and stored text that is no entry gives an error, never an exception', t => {
  const broken = fc.record(Object.fromEntries(Object.keys(URGENT_PROFILE).map(key => [key, fc.anything()])), { requiredKeys: [] })
  const entry = fc.record({ kind: fc.constantFrom(...CONFIG_KINDS), name: fc.string(), revision: fc.integer(), value: broken })
  fc.assert(fc.property(fc.constantFrom(...CONFIG_KINDS), fc.oneof(fc.anything(), broken), entry, fc.string(), (kind, value, stored, text) => {
    checkConfigValue(kind, 'x', value).mapErr(error => t.true(error instanceof ConfigInvalidError && error.problems.length > 0))
    t.true(decodeEntry('k', text).isErr())
    t.true(decodeEntry('k', JSON.stringify(stored)).isErr())
  }), { seed: SEED, numRuns: 500 })
  t.pass()
})

test('an entry, also of a deletion, is unchanged after encoding and decoding', t => {
  const base = { kind: 'profile', name: 'urgent', revision: 3, writer: 'w', nonce: 'n', changedAt: 1 } as const
  for (const entry of [{ ...base, deleted: false, value: URGENT_PROFILE }, { ...base, deleted: true }]) {
    t.deepEqual(decodeEntry('k', encodeEntry(entry))._unsafeUnwrap(), entry)
  }
})
