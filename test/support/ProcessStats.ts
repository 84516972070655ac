/**
 * Reads the memory, descriptors and processor time of a process from the kernel, for tests and benchmarks that have started it.
 */

import { readdirSync, readFileSync } from 'node:fs'

const KIB = 1024
/** The unit of processor time in `/proc`: 100 ticks a second on all usual systems. */
const MS_PER_TICK = 10
/** The state of a listening socket in `/proc/net/tcp`. */
const LISTENING = '0A'
/** The index of the user time among the fields after the command name; the system time follows it. */
const USER_TICKS_FIELD = 11

/** Resident memory in bytes. */
export function residentBytes (pid: number): number {
  return statusBytes(pid, 'VmRSS')
}

/** The highest resident memory so far, in bytes. */
export function peakResidentBytes (pid: number): number {
  return statusBytes(pid, 'VmHWM')
}

export function openDescriptors (pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length
}

/** Bytes that the kernel has received on the connections of these IPv4 ports, and that the process hasn't read yet. */
export function unreadBytes (ports: ReadonlySet<number>): number {
  const rows = readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1, -1).map((row) => row.trim().split(/\s+/))
  return rows
    .filter(([, local = '', , state]) => state !== LISTENING && ports.has(Number.parseInt(local.split(':')[1] ?? '', 16)))
    .reduce((sum, [, , , , queues = '']) => sum + Number.parseInt(queues.split(':')[1] ?? '', 16), 0)
}

function statusBytes (pid: number, field: string): number {
  const line = new RegExp(`${field}:\\s+(\\d+) kB`).exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(line?.[1]) * KIB
}

/** Processor time used so far, user and system, in milliseconds. */
export function processorMs (pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TICKS_FIELD]) + Number(fields[USER_TICKS_FIELD + 1])) * MS_PER_TICK
}
