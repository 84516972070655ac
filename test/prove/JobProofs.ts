/**
 * Proofs about jobs: a task never runs in two places, the tasks of an all-at-once job start together, and accepted jobs are not lost.
 */

import { SeededRandom } from '../../src/common/Random.js'
import { CallerClient } from '../support/CallerClient.js'
import { sleep, withCell } from './Harness.js'

import type { IJobSpec } from '../../src/common/protocol/Types.js'
import type { Cell } from '../support/Cell.js'
import type { IProof, IProofResult } from './Types.js'

const MIB = 2 ** 20
const JOBS_PER_SECOND = 8
const FINISH_LIMIT_MS = 60_000
/**
 * The time that an all-at-once job may run in part, in ms. A start takes a message to each host; if one of them fails, the next
 * sync reveals it and the other tasks are stopped.
 */
const MAX_PARTIAL_RUN_MS = 4000

interface IAttemptRecord {
  readonly jobId: string
  readonly taskId: string
  readonly attempt: number
  readonly startedAt: number
  readonly endedAt?: number
  readonly end?: string
}

export interface IWorkerRecords {
  readonly hostId: string
  readonly records: readonly IAttemptRecord[]
  readonly overCapacity: number
  readonly doubleRuns: number
}

interface IPlacedAttempt extends IAttemptRecord {
  readonly hostId: string
}

function makeJob (number: number, random: SeededRandom): IJobSpec {
  const isGang = number % 4 === 0
  const taskCount = isGang ? 6 : 1 + Math.floor(random.next() * 3)
  const runMs = 500 + Math.floor(random.next() * 2500)
  const resources = { cores: isGang ? 24 : 4, memoryBytes: 64 * MIB, accelerators: 0 }
  const tasks = Array.from({ length: taskCount }, (_, index) => ({ taskId: `t${index}`, resources, runMs }))
  return { jobId: `job-${number}`, service: isGang ? 'match-model' : 'season-budget', caller: `planner-${number % 3}`, longRunning: false, tasks }
}

/** Submits jobs through the gateways in turn until `injectFaults` has finished; returns the accepted jobs. */
export async function submitDuring (cell: Cell, injectFaults: () => Promise<void>): Promise<readonly IJobSpec[]> {
  const random = new SeededRandom(15)
  const accepted: IJobSpec[] = []
  const clients = cell.gateways().map((gateway) => new CallerClient(gateway.url, 16))
  let number = 0
  const timer = setInterval(() => {
    number += 1
    const job = makeJob(number, random)
    const client = clients[number % clients.length]
    client?.submitJob(job).then((reply) => { if (reply.status === 202) accepted.push(job) }, () => {})
  }, 1000 / JOBS_PER_SECOND)
  await injectFaults()
  clearInterval(timer)
  await sleep(1000)
  return accepted
}

/** Waits until every job has succeeded; returns a line for each that has not succeeded in time. */
async function findUnfinishedJobs (cell: Cell, jobs: readonly IJobSpec[]): Promise<readonly string[]> {
  const client = new CallerClient(cell.gateways()[0]?.url ?? '', 8)
  const untilMs = performance.now() + FINISH_LIMIT_MS
  const unfinished: string[] = []
  for (const { jobId } of jobs) {
    const status = await client.waitForJob(jobId, ({ state }) => state === 'succeeded', Math.max(0, untilMs - performance.now()))
    if (status?.state !== 'succeeded') unfinished.push(`${jobId} is ${status?.state ?? 'unknown'}${status?.reason === undefined ? '' : ` (${status.reason})`}`)
  }
  return unfinished
}

function findOverlaps (attempts: readonly IPlacedAttempt[]): readonly string[] {
  const sorted = [...attempts].sort((a, b) => a.startedAt - b.startedAt)
  const found: string[] = []
  sorted.forEach((attempt, index) => {
    const next = sorted[index + 1]
    if (next === undefined || (attempt.endedAt ?? Infinity) <= next.startedAt) return
    found.push(`${attempt.jobId}/${attempt.taskId} attempt ${next.attempt} started on ${next.hostId} while ${attempt.attempt} ran on ${attempt.hostId}`)
  })
  return found
}

/** The longest time without a break for which only some of a job's tasks ran, before its first task succeeded. */
function longestPartialMs (attempts: readonly IPlacedAttempt[], taskCount: number): number {
  const doneAt = Math.min(...attempts.filter((each) => each.end === 'succeeded').map((each) => each.endedAt ?? Infinity))
  const changes = attempts.flatMap((each) => [{ at: each.startedAt, by: 1 }, ...(each.endedAt === undefined ? [] : [{ at: each.endedAt, by: -1 }])])
  let running = 0
  let partialSince: number | undefined
  let longestMs = 0
  for (const { at, by } of changes.sort((a, b) => a.at - b.at || a.by - b.by)) {
    if (at >= doneAt) break
    if (partialSince !== undefined) longestMs = Math.max(longestMs, at - partialSince)
    running += by
    partialSince = running > 0 && running < taskCount ? partialSince ?? at : undefined
  }
  return longestMs
}

async function checkJobs (cell: Cell, jobs: readonly IJobSpec[]): Promise<IProofResult> {
  const unfinished = await findUnfinishedJobs(cell, jobs)
  const workers = await Promise.all(cell.hosts.filter((host) => host.kind === 'worker').map(async (host) => await cell.dump<IWorkerRecords>(host.url)))
  const violations = [...unfinished]
  const byTask = new Map<string, IPlacedAttempt[]>()
  const byJob = new Map<string, IPlacedAttempt[]>()
  for (const { hostId, records, overCapacity, doubleRuns } of workers) {
    if (overCapacity > 0) violations.push(`${hostId} was over its capacity ${overCapacity} times`)
    if (doubleRuns > 0) violations.push(`${hostId} ran a task twice at once`)
    for (const record of records) {
      const placed = { ...record, hostId }
      byTask.set(`${record.jobId}/${record.taskId}`, [...byTask.get(`${record.jobId}/${record.taskId}`) ?? [], placed])
      byJob.set(record.jobId, [...byJob.get(record.jobId) ?? [], placed])
    }
  }
  for (const attempts of byTask.values()) violations.push(...findOverlaps(attempts))
  for (const job of jobs.filter((each) => each.service === 'match-model')) {
    const partialMs = longestPartialMs(byJob.get(job.jobId) ?? [], job.tasks.length)
    if (partialMs > MAX_PARTIAL_RUN_MS) violations.push(`${job.jobId} ran in part for ${partialMs} ms`)
  }
  const attempts = [...byTask.values()].flat()
  return {
    checked: attempts.length,
    violations: violations.slice(0, 10),
    notes: { jobs: jobs.length, furtherAttempts: attempts.length - byTask.size }
  }
}

/**
 * Pauses the owner of a rack beyond its lease while its tasks run, so that another scheduler takes the rack over, and resumes it.
 * Then a scheduler is killed, a worker dies with its tasks, and the store is down for a while. The guarded failures are a task
 * that runs on two hosts, and an accepted job that never runs.
 */
async function injectJobFaults (cell: Cell, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round++) {
    const [paused, killed] = [cell.schedulers()[round % 6], cell.schedulers()[(round + 3) % 6]]
    const worker = cell.hosts.filter((host) => host.kind === 'worker')[round]
    await sleep(2000)
    paused?.handle.pause()
    await sleep(6000)
    paused?.handle.resume()
    await sleep(2000)
    await cell.control(worker?.url ?? '', { dead: true })
    await killed?.handle.kill()
    await sleep(4000)
    if (killed !== undefined) await cell.startDaemon('scheduler', killed.region, killed.processId)
    await cell.control(worker?.url ?? '', { dead: false })
    await cell.control(cell.storeControlUrl, { outage: 'hang' })
    await sleep(3000)
    await cell.control(cell.storeControlUrl, { outage: 'none' })
    await sleep(4000)
  }
}

const onePlace: IProof = {
  name: 'one-place',
  isTimed: true,
  property: 'attempts of a task never overlap; accepted jobs end; all-at-once jobs start whole',
  failure: 'a scheduler paused past its lease and woken, one killed, a worker dead with its tasks, an outage of the store',
  run: async (scale) => await withCell({ schedulersPerRegion: 2, runnersPerRegion: 1, workersPerRegion: 4, hostsPerRack: 2 }, async (cell) => {
    const jobs = await submitDuring(cell, async () => { await injectJobFaults(cell, scale) })
    return await checkJobs(cell, jobs)
  })
}

export const JOB_PROOFS: readonly IProof[] = [onePlace]
