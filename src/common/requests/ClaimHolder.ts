/**
 * Encodes the process that holds a claim as text: its id and its incarnation, because a restarted process does not know
 * what its earlier incarnation held.
 */

import type { IProcessIdentity } from '../Types.js'

const SEPARATOR = '#'

export interface IClaimHolder {
  readonly processId: string
  readonly incarnation: number
}

export function formatHolder ({ processId, incarnation }: IProcessIdentity): string {
  return `${processId}${SEPARATOR}${incarnation}`
}

export function parseHolder (name: string): IClaimHolder {
  const separatorIndex = name.lastIndexOf(SEPARATOR)
  return { processId: name.slice(0, separatorIndex), incarnation: Number(name.slice(separatorIndex + 1)) }
}
