/**
 * Waiting with a bound.
 */

import type { IDisposable, ITimers } from '../common/Types.js'

/** Resolves when `wait` does, or after `limitMs`. */
export async function within (timers: ITimers, limitMs: number, wait: Promise<unknown>): Promise<void> {
  let timer: IDisposable | undefined
  const limit = new Promise<void>((resolve) => { timer = timers.after(limitMs, resolve) })
  await Promise.race([limit, wait])
  timer?.dispose()
}
