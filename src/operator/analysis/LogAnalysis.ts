/**
 * Summarizes the logs of a cell: how jobs ended, by queue and time window; how long each part of a job took; which runs had no result and
 * why; and how long no run was ordered when the owner changed.
 */

import { build } from 'hdr-histogram-js'
import { jobHistories, numberOf, textOf } from './JobHistory.js'

import type { IJobHistory, IJobTimes, JobFate } from './JobHistory.js'
import type { ILogEvent } from './LogEvents.js'

const FATES: readonly JobFate[] = ['inTime', 'late', 'failed', 'cancelled', 'unfinished', 'refused', 'inDoubt']
const PARTS: readonly (keyof IJobTimes)[] = ['untilAcceptedMs', 'adviceMs', 'roomMs', 'recordMs', 'betweenStepsMs', 'tellMs']
const MS_PER_S = 1000

export interface IWindowRow {
  readonly fromS: number
  readonly queue: string
  readonly jobs: number
  readonly fates: Readonly<Record<JobFate, number>>
}

export interface IPartRow {
  readonly queue: string
  readonly part: string
  readonly jobs: number
  readonly p50Ms: number
  readonly p95Ms: number
  readonly p99Ms: number
}

export interface ILossRow {
  readonly queue: string
  readonly end: string
  readonly reason: string
  readonly runs: number
  readonly coreSeconds: number
}

/** How the accepted jobs of a workspace ended. */
export interface IWorkspaceRow {
  readonly workspace: string
  readonly jobs: number
  readonly fates: Readonly<Record<JobFate, number>>
}

/** A reason why submissions were not accepted, with the number of such answers. */
export interface IRefusalRow {
  readonly reason: string
  readonly answers: number
}

/** The time without orders around a change of the owner. */
export interface IOwnerChangeRow {
  readonly atS: number
  readonly owner: string
  readonly lastOrderS: number
  readonly readyS: number
  readonly firstOrderS: number
  readonly gapS: number
}

export interface ILogAnalysis {
  readonly windows: readonly IWindowRow[]
  readonly workspaces: readonly IWorkspaceRow[]
  readonly parts: readonly IPartRow[]
  readonly losses: readonly ILossRow[]
  readonly refusals: readonly IRefusalRow[]
  readonly ownerChanges: readonly IOwnerChangeRow[]
  /** The share of jobs that were in time in each window, over all queues, for a plot. */
  readonly inTimeShares: readonly number[]
}

export function analyseLogs (events: readonly ILogEvent[], windowMs: number): ILogAnalysis {
  const jobs = jobHistories(events)
  const originMs = jobs[0]?.sentAtMs ?? 0
  const windows = windowRows(jobs, originMs, windowMs)
  return {
    windows,
    workspaces: workspaceRows(jobs),
    parts: partRows(jobs),
    losses: lossRows(events, new Map(jobs.map(({ jobId, queue }) => [jobId, queue]))),
    refusals: refusalRows(events),
    ownerChanges: ownerChangeRows(events, originMs),
    inTimeShares: inTimeSharesOf(windows)
  }
}

function windowRows (jobs: readonly IJobHistory[], originMs: number, windowMs: number): readonly IWindowRow[] {
  const groups = groupBy(jobs, ({ sentAtMs, queue }) => `${Math.floor((sentAtMs - originMs) / windowMs)} ${queue}`)
  return [...groups.values()].flatMap((group): readonly IWindowRow[] => {
    const [first] = group
    if (first === undefined) return []
    const fromS = Math.floor((first.sentAtMs - originMs) / windowMs) * windowMs / MS_PER_S
    return [{ fromS, queue: first.queue, jobs: group.length, fates: countFates(group) }]
  }).sort((a, b) => a.fromS - b.fromS || (a.queue < b.queue ? -1 : 1))
}

function workspaceRows (jobs: readonly IJobHistory[]): readonly IWorkspaceRow[] {
  const groups = groupBy(jobs.filter(({ workspace }) => workspace !== ''), ({ workspace }) => workspace)
  return [...groups].map(([workspace, group]) => ({ workspace, jobs: group.length, fates: countFates(group) })).sort((a, b) => b.jobs - a.jobs)
}

function countFates (jobs: readonly IJobHistory[]): Readonly<Record<JobFate, number>> {
  return Object.fromEntries(FATES.map((fate) => [fate, jobs.filter((job) => job.fate === fate).length])) as Record<JobFate, number>
}

/** Cancelled jobs don't count, since their callers no longer expect a result. */
function inTimeSharesOf (windows: readonly IWindowRow[]): readonly number[] {
  return [...groupBy(windows, ({ fromS }) => String(fromS)).values()].map((rows) => {
    const expectedJobs = rows.reduce((sum, { jobs, fates }) => sum + jobs - fates.cancelled, 0)
    return expectedJobs === 0 ? 1 : rows.reduce((sum, { fates }) => sum + fates.inTime, 0) / expectedJobs
  })
}

function partRows (jobs: readonly IJobHistory[]): readonly IPartRow[] {
  return [...groupBy(jobs, ({ queue }) => queue)].flatMap(([queue, group]) => PARTS.flatMap((part): readonly IPartRow[] => {
    const histogram = build()
    for (const { times } of group) {
      const ms = times[part]
      if (ms !== undefined) histogram.recordValue(Math.round(ms))
    }
    if (histogram.totalCount === 0) return []
    const [p50Ms = 0, p95Ms = 0, p99Ms = 0] = [50, 95, 99].map((percentile) => histogram.getValueAtPercentile(percentile))
    return [{ queue, part, jobs: histogram.totalCount, p50Ms, p95Ms, p99Ms }]
  }))
}

function lossRows (events: readonly ILogEvent[], queueByJobId: ReadonlyMap<string, string>): readonly ILossRow[] {
  const rows = new Map<string, { queue: string, end: string, reason: string, runs: number, coreSeconds: number }>()
  for (const { event, fields } of events) {
    if ((event !== 'run.ended' || fields.end === 'done') && event !== 'run.lost') continue
    const queue = queueByJobId.get(textOf(fields.requestId)) ?? ''
    const end = event === 'run.lost' ? 'lost' : textOf(fields.end)
    const reason = textOf(event === 'run.lost' ? fields.reason : fields.stopReason)
    const row = rows.get(`${queue} ${end} ${reason}`) ?? { queue, end, reason, runs: 0, coreSeconds: 0 }
    row.runs += 1
    row.coreSeconds += numberOf(fields.ranMs) * numberOf(fields.cpuMillicores) / MS_PER_S / MS_PER_S
    rows.set(`${queue} ${end} ${reason}`, row)
  }
  return [...rows.values()].sort((a, b) => b.coreSeconds - a.coreSeconds)
}

function refusalRows (events: readonly ILogEvent[]): readonly IRefusalRow[] {
  const refused = events.filter(({ event, fields }) => event === 'caller.answered' && fields.outcome !== 'accepted')
  const groups = groupBy(refused, ({ fields }) => `${textOf(fields.outcome)}: ${textOf(fields.reason).replace(/[\d.]+ ms/, 'N ms')}`)
  return [...groups].map(([reason, group]) => ({ reason, answers: group.length })).sort((a, b) => b.answers - a.answers)
}

function ownerChangeRows (events: readonly ILogEvent[], originMs: number): readonly IOwnerChangeRow[] {
  const orders = events.filter(({ event }) => event === 'run.ordered').map(({ atMs }) => atMs)
  const readyEvents = events.filter(({ event }) => event === 'owner.ready')
  const toSeconds = (ms: number): number => (ms - originMs) / MS_PER_S
  return events.filter(({ event, atMs }) => event === 'owner.owned' && atMs > originMs).flatMap(({ atMs, process }): readonly IOwnerChangeRow[] => {
    const lastOrderMs = orders.findLast((orderedAtMs) => orderedAtMs <= atMs)
    const firstOrderMs = orders.find((orderedAtMs) => orderedAtMs > atMs)
    const readyMs = readyEvents.find((ready) => ready.process === process && ready.atMs >= atMs)?.atMs
    if (lastOrderMs === undefined || firstOrderMs === undefined || readyMs === undefined) return []
    return [{
      atS: toSeconds(atMs),
      owner: process,
      lastOrderS: toSeconds(lastOrderMs),
      readyS: toSeconds(readyMs),
      firstOrderS: toSeconds(firstOrderMs),
      gapS: (firstOrderMs - lastOrderMs) / MS_PER_S
    }]
  })
}

function groupBy<T> (items: readonly T[], keyOf: (item: T) => string): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
