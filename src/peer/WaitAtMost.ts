/**
 * Waiting for a promise up to a time limit.
 */

import type { IDisposable, ITimers } from '../common/Types.js'

/** Resolves when `wait` resolves, or after `limitMs`. */
export async function waitAtMost (timers: ITimers, limitMs: number, wait: Promise<unknown>): Promise<void> {
  let timer: IDisposable | undefined
  const limit = new Promise<void>((resolve) => { timer = timers.after(limitMs, resolve) })
  await Promise.race([limit, wait])
  timer?.dispose()
}
