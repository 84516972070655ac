/**
 * Names the process that holds a claim: its id and its incarnation, since a restarted process knows nothing of what the
 * earlier one held.
 */

import type { IProcessIdentity } from '../Types.js'

const SEPARATOR = '#'

export interface IClaimHolder {
  readonly processId: string
  readonly incarnation: number
}

export function holderName ({ processId, incarnation }: IProcessIdentity): string {
  return `${processId}${SEPARATOR}${incarnation}`
}

export function parseHolder (name: string): IClaimHolder {
  const at = name.lastIndexOf(SEPARATOR)
  return { processId: name.slice(0, at), incarnation: Number(name.slice(at + 1)) }
}
