/**
 * The new version of a configured thing, from a file or from `field=value` pairs, and the revision that it is based on.
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

/** A file holds the bare value, or an entry as `get --json` prints it, which brings its revision along. */
export function parseEdit (file: string, content: Uint8Array, revision: number | undefined): Result<IEditInput, CommandError> {
  const parsed = parseObject(content)
  if (parsed === undefined) return fault(file, `${file} holds no JSON object; start from the output of get --json`)
  const isEntry = typeof parsed['value'] === 'object' && typeof parsed['revision'] === 'number'
  const seen = revision ?? (isEntry ? parsed['revision'] as number : undefined)
  if (seen === undefined) return fault(file, 'give the revision that you saw by --revision N; 0 for something new')
  return ok({ value: isEntry ? parsed['value'] : parsed, revision: seen })
}

/** Changes some fields of the current version. */
export function editedValue (entry: IConfigEntry, pairs: readonly string[], revision: number | undefined): Result<IEditInput, CommandError> {
  const changes: Array<readonly [string, unknown]> = []
  for (const pair of pairs) {
    const split = pair.indexOf('=')
    if (split < 1) return fault(pair, `${JSON.stringify(pair)} is not of the form field=value`)
    changes.push([pair.slice(0, split), parseScalar(pair.slice(split + 1))])
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

/** Numbers, true and false as such, all else as text. */
function parseScalar (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return text
  }
}

function fault (peer: string, advice: string): Result<never, CommandError> {
  return err(new CommandError('config.input', peer, EXIT.usage, advice))
}
