/**
 * Compares two versions of a configuration entry field by field.
 */

import type { IConfigEntry } from '../common/config/Types.js'

export interface IFieldDifference {
  readonly field: string
  readonly left: unknown
  readonly right: unknown
}

export function compareFields (left: object | undefined, right: object | undefined): readonly IFieldDifference[] {
  const leftFields = { ...left } as Record<string, unknown>
  const rightFields = { ...right } as Record<string, unknown>
  const fields = [...new Set([...Object.keys(leftFields), ...Object.keys(rightFields)])]
  return fields
    .filter(field => leftFields[field] !== rightFields[field])
    .map(field => ({ field, left: leftFields[field], right: rightFields[field] }))
}

/** Describes a change in one line, such as `weight 1 -> 2, spread none -> failureDomain`. */
export function describeChange (before: IConfigEntry | undefined, after: IConfigEntry): string {
  if (after.deleted) return 'deleted'
  if (before === undefined || before.deleted) return 'created'
  const changes = compareFields(before.value, after.value).map(({ field, left, right }) => `${field} ${String(left)} -> ${String(right)}`)
  return changes.length === 0 ? 'unchanged' : changes.join(', ')
}
