/**
 * Reads the resource use of this process: heap after a full garbage collection, and processor time of all threads.
 */

import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

const US_PER_MS = 1_000

export function heapBytes (): number {
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed
}

export function processorUs (): number {
  const { user, system } = process.cpuUsage()
  return user + system
}

/** Measures the processor time of `work` in microseconds. A garbage collection before it keeps earlier garbage out of the figure. */
export async function processorUsOf (work: () => Promise<unknown> | void): Promise<number> {
  collectGarbage()
  const before = processorUs()
  await work()
  return processorUs() - before
}

/** Measures the processor time of this process over `windowMs`, in microseconds a second. */
export async function processorUsPerSecond (windowMs: number): Promise<number> {
  const startMs = performance.now()
  const usedUs = await processorUsOf(async () => { await pause(windowMs) })
  return usedUs / (performance.now() - startMs) * US_PER_MS
}

export async function pause (ms: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}
