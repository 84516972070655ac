/**
 * Waits for a condition in tests with sockets, where no event announces it.
 */

const POLL_MS = 5

/** Resolves when the condition holds. Only the timeout of the test runner limits the wait. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise<void>((resolve) => { setTimeout(resolve, POLL_MS) })
}
