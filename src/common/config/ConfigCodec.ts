/**
 * Encodes configuration for the store: one JSON entry for each profile, service and team, and separate keys for its earlier
 * revisions.
 */

import { err, ok } from 'neverthrow'
import * as z from 'zod'
import { InvalidInputError } from '../Errors.js'
import { CONFIG_KINDS, checkConfigValue, isConfigName } from './ProfileSchema.js'

import type { Result } from 'neverthrow'
import type { ConfigKind, IConfigEntry } from './Types.js'

/** The key prefix of all current entries. */
export const CONFIG_PREFIX = 'config/'
const HISTORY_PREFIX = 'config-history/'
/** Revisions in keys are padded to this width, so that keys sort in the order of revisions. */
const REVISION_DIGITS = 10

const ENTRY_SCHEMA = z.strictObject({
  kind: z.enum(CONFIG_KINDS),
  name: z.string().refine(isConfigName),
  revision: z.int().min(1),
  deleted: z.boolean(),
  value: z.unknown().optional(),
  writer: z.string().max(256),
  nonce: z.string().min(1).max(128),
  changedAt: z.number()
})

export function configKey (kind: ConfigKind, name: string): string {
  return `${CONFIG_PREFIX}${kind}/${name}`
}

export function historyPrefix (kind: ConfigKind, name: string): string {
  return `${HISTORY_PREFIX}${kind}/${name}/`
}

export function historyKey (kind: ConfigKind, name: string, revision: number): string {
  return historyPrefix(kind, name) + String(revision).padStart(REVISION_DIGITS, '0')
}

export function encodeEntry (entry: IConfigEntry): string {
  return JSON.stringify(entry)
}

/** Decodes a store value. Never throws; the error names the key. */
export function decodeEntry (key: string, text: string): Result<IConfigEntry, InvalidInputError> {
  try {
    return checkEntry(key, JSON.parse(text))
  } catch {
    return err(new InvalidInputError('config.decode', key, 'value', 'is not JSON'))
  }
}

/** Validates an entry from any source, such as a peer that runs another version. */
export function checkEntry (origin: string, entry: unknown): Result<IConfigEntry, InvalidInputError> {
  const result = ENTRY_SCHEMA.safeParse(entry)
  if (!result.success) {
    const field = String(result.error.issues[0]?.path[0] ?? 'entry')
    return err(new InvalidInputError('config.decode', origin, field, 'is malformed'))
  }
  const { value, ...rest } = result.data
  if (rest.deleted) return ok(rest)
  return checkConfigValue(rest.kind, rest.name, value).map(checked => ({ ...rest, value: checked }))
}
