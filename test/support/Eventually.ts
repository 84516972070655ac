/**
 * Waiting in tests: on a condition, never for a fixed time.
 */

import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MS = 5
const LONGEST_MS = 20_000

/** Waits until `probe` gives a value other than `undefined` or `false`; fails after 20 s. */
export async function eventually<T> (what: string, probe: () => T | undefined | false | Promise<T | undefined | false>): Promise<T> {
  const untilMs = performance.now() + LONGEST_MS
  while (performance.now() < untilMs) {
    const value = await probe()
    if (value !== undefined && value !== false) return value
    await sleep(POLL_MS)
  }
  throw new Error(`not in ${LONGEST_MS} ms: ${what}`)
}
