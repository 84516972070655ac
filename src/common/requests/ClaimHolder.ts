/**
 * Names the holder of a claim: a process in one incarnation, since one that has restarted has forgotten the answers.
 */

const SEPARATOR = '#'

export interface IClaimHolder {
  readonly processId: string
  /** Absent where only the process is known. */
  readonly incarnation?: number
}

export function holderName (processId: string, incarnation: number): string {
  return `${processId}${SEPARATOR}${incarnation}`
}

export function parseHolder (name: string): IClaimHolder {
  const end = name.lastIndexOf(SEPARATOR)
  return end < 0 ? { processId: name } : { processId: name.slice(0, end), incarnation: Number(name.slice(end + 1)) }
}
