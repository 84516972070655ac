/**
 * How configuration stands in the store: one JSON entry per thing, and its earlier revisions beside it.
 */

import { err, ok } from 'neverthrow'
import * as z from 'zod'
import { InvalidInputError } from '../Errors.js'
import { CONFIG_KINDS, checkConfigValue, isConfigName } from './ProfileSchema.js'

import type { Result } from 'neverthrow'
import type { ConfigKind, IConfigEntry } from './Types.js'

/** All current entries stand below this key. */
export const CONFIG_PREFIX = 'config/'
const HISTORY_PREFIX = 'config-history/'
/** Wide enough that the order of keys is the order of revisions. */
const REVISION_DIGITS = 10

const ENTRY = z.strictObject({
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

/** Reads a store value. Never throws: what can't be understood is an error that names the key. */
export function decodeEntry (key: string, text: string): Result<IConfigEntry, InvalidInputError> {
  try {
    return checkEntry(key, JSON.parse(text))
  } catch {
    return err(new InvalidInputError('config.decode', key, 'value', 'is not JSON'))
  }
}

/** Checks an entry of any origin, such as a peer of another version. */
export function checkEntry (origin: string, entry: unknown): Result<IConfigEntry, InvalidInputError> {
  const result = ENTRY.safeParse(entry)
  if (!result.success) {
    const field = String(result.error.issues[0]?.path[0] ?? 'entry')
    return err(new InvalidInputError('config.decode', origin, field, 'is malformed'))
  }
  const { value, ...rest } = result.data
  if (rest.deleted) return ok(rest)
  return checkConfigValue(rest.kind, rest.name, value).map(checked => ({ ...rest, value: checked }))
}
