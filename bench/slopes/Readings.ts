/**
 * What this process takes: heap after a full collection, and processor time of all its threads.
 */

import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collect = runInNewContext('gc') as () => void

const US_PER_MS = 1_000

export function heapBytes (): number {
  collect()
  collect()
  return process.memoryUsage().heapUsed
}

export function processorUs (): number {
  const { user, system } = process.cpuUsage()
  return user + system
}

/** Processor time of `work`, in microseconds, after a collection so that earlier garbage isn't counted. */
export async function processorUsOf (work: () => Promise<unknown> | void): Promise<number> {
  collect()
  const before = processorUs()
  await work()
  return processorUs() - before
}

/** Processor time that this process takes in `windowMs`, in microseconds a second. */
export async function processorUsPerSecond (windowMs: number): Promise<number> {
  const startMs = performance.now()
  const usedUs = await processorUsOf(async () => { await pause(windowMs) })
  return usedUs / (performance.now() - startMs) * US_PER_MS
}

export async function pause (ms: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}
