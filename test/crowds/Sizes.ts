/**
 * The sizes of the machine that a crowd presses on, and of jobs.
 */

/** The memory of the smallest of the users' machines. */
export const MEMORY_MB = 210
/** Its descriptors, without those that are reserved for files. */
export const MAX_DESCRIPTORS = 2212 - 200
/** The limit on a body in the configuration of the stand-in. */
const MAX_BODY_BYTES = 262_144
export const LARGE_CHUNK_BYTES = 32_768

/** A job of one small task. */
export function smallJob (specBytes = 1): string {
  return JSON.stringify({ spec: 's'.repeat(specBytes), steps: [{ count: 1, cpu: 100, memMb: 10, estimateMs: 200 }] })
}

/** A valid job as large as a body may be. */
export function largestBody (): Buffer {
  return Buffer.from(smallJob().padEnd(MAX_BODY_BYTES, ' '))
}
