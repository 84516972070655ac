/**
 * Waiting for a condition in tests between sockets, where no event tells of it.
 */

const POLL_MS = 5

/** Resolves when the condition holds. The test runner's timeout bounds the wait. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise<void>((resolve) => { setTimeout(resolve, POLL_MS) })
}
