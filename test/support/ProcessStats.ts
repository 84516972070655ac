/**
 * Reads the memory and processor time of a process from the kernel, for tests and benchmarks that have started it.
 */

import { readFileSync } from 'node:fs'

const KIB = 1024
/** The unit of processor time in `/proc`: 100 ticks a second on all usual systems. */
const MS_PER_TICK = 10
/** The index of the user time among the fields after the command name; the system time follows it. */
const USER_TICKS_FIELD = 11

/** Resident memory in bytes. */
export function residentBytes (pid: number): number {
  const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(line?.[1]) * KIB
}

/** Processor time used so far, user and system, in milliseconds. */
export function processorMs (pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1])) * MS_PER_TICK
}
