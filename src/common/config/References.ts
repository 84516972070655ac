/**
 * Checks the references of a service to its profile and its team. An operator's edit is checked against the process's own
 * copy of the configuration, so that a misspelt name is refused at the edit, before it fails requests of callers. Two
 * concurrent edits can still leave a dangling reference; a request to such a service is refused with the missing name.
 */

import { err, ok } from 'neverthrow'
import { ConfigInvalidError } from './ConfigInvalidError.js'

import type { Result } from 'neverthrow'
import type { IFieldProblem } from './ConfigInvalidError.js'
import type { ConfigKind, IConfigReplica, IServiceConfig } from './Types.js'
import type { ConfigValue } from './ProfileSchema.js'

/** Checks an edit; `value` is absent for a deletion. */
export function checkReferences (
  replica: IConfigReplica, kind: ConfigKind, name: string, value: ConfigValue | undefined
): Result<void, ConfigInvalidError> {
  const problems = value === undefined ? findUses(replica, kind, name) : findMissingReferences(replica, kind, value)
  return problems.length === 0 ? ok(undefined) : err(new ConfigInvalidError(`${kind} ${name}`, problems))
}

function findMissingReferences (replica: IConfigReplica, kind: ConfigKind, value: ConfigValue): readonly IFieldProblem[] {
  if (kind !== 'service') return []
  const { profile, team } = value as IServiceConfig
  const problems: IFieldProblem[] = []
  if (replica.profile(profile) === undefined) problems.push({ field: 'profile', allowed: `names ${profile}, which does not exist; put it first` })
  if (replica.team(team) === undefined) problems.push({ field: 'team', allowed: `names ${team}, which does not exist; put it first` })
  return problems
}

function findUses (replica: IConfigReplica, kind: ConfigKind, name: string): readonly IFieldProblem[] {
  if (kind === 'service') return []
  const services = replica.entries()
    .filter(entry => entry.kind === 'service' && !entry.deleted)
    .filter(entry => (entry.value as IServiceConfig)[kind] === name)
    .map(entry => entry.name)
  if (services.length === 0) return []
  return [{ field: 'name', allowed: `is in use by ${services.join(', ')}; change these services first` }]
}
