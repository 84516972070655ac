/**
 * Lets a test wait for a condition instead of a fixed time.
 */

import { setTimeout as sleep } from 'node:timers/promises'

const POLL_MS = 5
const TIMEOUT_MS = 20_000

/** Waits until `probe` returns a value other than `undefined` or `false` and returns it; fails after 20 s. */
export async function eventually<T> (what: string, probe: () => T | undefined | false | Promise<T | undefined | false>): Promise<T> {
  const untilMs = performance.now() + TIMEOUT_MS
  while (performance.now() < untilMs) {
    const value = await probe()
    if (value !== undefined && value !== false) return value
    await sleep(POLL_MS)
  }
  throw new Error(`not within ${TIMEOUT_MS} ms: ${what}`)
}
