/**
 * Reads the new version of a configuration entry from a file or from `field=value` pairs, and the revision that it is based on.
 */

import { err, ok } from 'neverthrow'
import { CommandError } from '../CommandError.js'
import { EXIT } from '../ExitCodes.js'

import type { Result } from 'neverthrow'
import type { IConfigEntry } from '../../common/config/Types.js'

export interface IEditInput {
  readonly value: unknown
  readonly revision: number
}

/** Parses a file that contains either the value alone or an entry as `get --json` prints it, which includes the revision. */
export function parseEdit (file: string, content: Uint8Array, revision: number | undefined): Result<IEditInput, CommandError> {
  const parsed = parseObject(content)
  if (parsed === undefined) return createInputError(file, `${file} contains no JSON object; start from the output of get --json`)
  const isEntry = typeof parsed['value'] === 'object' && typeof parsed['revision'] === 'number'
  const baseRevision = revision ?? (isEntry ? parsed['revision'] as number : undefined)
  if (baseRevision === undefined) return createInputError(file, 'give the revision that the edit is based on by --revision N, or 0 for a new entry')
  return ok({ value: isEntry ? parsed['value'] : parsed, revision: baseRevision })
}

/** Changes some fields of the current version. */
export function applyChanges (entry: IConfigEntry, pairs: readonly string[], revision: number | undefined): Result<IEditInput, CommandError> {
  const changes: Array<readonly [string, unknown]> = []
  for (const pair of pairs) {
    const separatorIndex = pair.indexOf('=')
    if (separatorIndex < 1) return createInputError(pair, `${JSON.stringify(pair)} is not of the form field=value`)
    changes.push([pair.slice(0, separatorIndex), parseScalar(pair.slice(separatorIndex + 1))])
  }
  return ok({ value: { ...entry.value, ...Object.fromEntries(changes) }, revision: revision ?? entry.revision })
}

function parseObject (content: Uint8Array): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(Buffer.from(content).toString('utf8'))
    return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}

/** Parses JSON values such as numbers, true and false; any other text stays a string. */
function parseScalar (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}

function createInputError (peer: string, advice: string): Result<never, CommandError> {
  return err(new CommandError('config.input', peer, EXIT.usage, advice))
}
