/**
 * Measures the cell owner's decisions under a mixed load, with simulated hosts and a simulated clock: the share of each queue's
 * jobs that is done in time, and how late jobs are. `npm run bench -- cellLoad [--hosts N] [--seed N] [--seconds N] [--factor N]`.
 */

import yargs from 'yargs'
import { SeededRandom } from '../src/common/Random.js'
import { SimulatedCell } from '../test/support/SimulatedCell.js'
import { tableLines } from '../src/operator/Table.js'

import type { Row } from '../src/operator/Table.js'
import type { Job, QueueTerms } from '../src/common/cell/Job.js'
import type { IAdviceRequest, IRunRef, IStepSpec } from '../src/common/cell/Types.js'
import type { IRandom } from '../src/common/Types.js'

/** One kind of job. Its rate applies to a cell of `REFERENCE_HOSTS` hosts. */
interface ILoad {
  readonly queue: Partial<QueueTerms> & { readonly name: string }
  readonly jobsPerS: number
  readonly tasks: number
  readonly steps: number
  readonly workMs: number
  readonly cpuMillicores: number
  readonly memoryMb: number
  /** The error of the estimates, as the standard deviation of their logarithm. */
  readonly estimateDeviation: number
  readonly gangShare: number
  /** The share of hosts that the advice service allows for a step. */
  readonly allowedShare: number
}

const REFERENCE_HOSTS = 200
const HOST = { cpuMillicores: 20_000, memoryMb: 40_000 }
const HOSTS_PER_MACHINE = 6
const MIN_MACHINES = 8
const WARM_UP_MS = 12_000
const TICK_MS = 10
const MS_PER_S = 1000
const WORK_DEVIATION = 0.5
const WIDTH_DEVIATION = 0.8
const CPU_DEVIATION = 0.4
const MAX_WIDTH_FACTOR = 6
const MAX_HASH = 0x7fffffff

/** Loads that fill four fifths of the cell: half of the work is wide all-at-once jobs, a third is batch jobs, the rest is short and urgent. */
const LOADS: readonly ILoad[] = [
  {
    queue: { name: 'settlements', priority: 1, maxAttempts: 3, stretch: 2, targetMs: 2000, advice: { baseMs: 500, perHostMs: 5, validMs: 2000 } },
    jobsPerS: 4,
    tasks: 16,
    steps: 1.25,
    workMs: 4000,
    cpuMillicores: 5000,
    memoryMb: 8000,
    estimateDeviation: 0.6,
    gangShare: 1,
    allowedShare: 0.4
  },
  {
    queue: { name: 'reports', priority: 2, maxAttempts: 3, stretch: 4, targetMs: 3000, advice: { baseMs: 100, perHostMs: 2, validMs: 2000 } },
    jobsPerS: 6,
    tasks: 20,
    steps: 1.5,
    workMs: 3000,
    cpuMillicores: 2000,
    memoryMb: 3000,
    estimateDeviation: 0.8,
    gangShare: 0,
    allowedShare: 0.5
  },
  {
    queue: { name: 'lookups', priority: 0, maxAttempts: 3, stretch: 1.5, targetMs: 600, advice: { baseMs: 10, perHostMs: 0.2, validMs: 2000 } },
    jobsPerS: 60,
    tasks: 3,
    steps: 1,
    workMs: 1000,
    cpuMillicores: 2000,
    memoryMb: 3000,
    estimateDeviation: 0.3,
    gangShare: 0.25,
    allowedShare: 0.6
  }
]

interface ISubmittedJob {
  readonly job: Job
  readonly load: ILoad
  /** The time from which the job counts as late, computed from its true run time. */
  readonly dueMs: number
}

/** `npm run bench -- cellLoad` */
export async function run (commandArgs: readonly string[]): Promise<void> {
  const args = await yargs([...commandArgs])
    .option('hosts', { type: 'number', default: REFERENCE_HOSTS })
    .option('seed', { type: 'number', default: 1 })
    .option('seconds', { type: 'number', default: 40 })
    .option('factor', { type: 'number', default: 1, describe: 'multiplies the rate of all loads' })
    .parseAsync()
  const rows = await simulateLoad(args.hosts, args.seed, args.seconds * MS_PER_S, args.factor)
  for (const line of tableLines(rows as unknown as readonly Row[])) process.stdout.write(`${line}\n`)
}

/** The results of one queue, for the jobs that were submitted after the warm-up. */
export interface ILoadRow {
  readonly queue: string
  readonly jobs: number
  readonly inTime: number
  /** The share of the work, in core-seconds, that was done in time, so that a wide job counts by its size. */
  readonly workInTime: number
  /** The percentiles of the delay of jobs after their due time, in s: half, nine in ten and 98 in a hundred of the jobs are at most this late. */
  readonly slackP50S: number
  readonly slackP90S: number
  readonly slackP98S: number
}

export async function simulateLoad (hosts: number, seed: number, durationMs: number, factor = 1): Promise<readonly ILoadRow[]> {
  const random = new SeededRandom(seed)
  const workMs = new Map<string, number>()
  const loadByJob = new Map<string, ILoad>()
  const cell = new SimulatedCell({
    hosts,
    adviceMachines: Math.max(MIN_MACHINES, Math.round(hosts / HOSTS_PER_MACHINE)),
    host: { ...HOST, workMs: ({ jobId, step }: IRunRef) => workMs.get(`${jobId}.${step}`) ?? MS_PER_S },
    allows: (hostId, { jobId, step }: IAdviceRequest) => hashToUnit(`${hostId} ${jobId} ${step}`) < (loadByJob.get(jobId)?.allowedShare ?? 1),
    adviceMs: ({ jobId, hostIds }) => {
      const advice = loadByJob.get(jobId)?.queue.advice
      return advice === undefined ? 0 : advice.baseMs + advice.perHostMs * hostIds.length
    }
  })
  const submitted: ISubmittedJob[] = []
  const finishedAtMs = new Map<Job, number>()
  const openJobs = new Set<Job>()
  const untilMs = WARM_UP_MS + durationMs
  while (cell.clock.nowMs() < untilMs + WARM_UP_MS * 2) {
    for (const load of LOADS) {
      const jobsPerTick = load.jobsPerS * factor * hosts / REFERENCE_HOSTS * TICK_MS / MS_PER_S
      if (random.next() < jobsPerTick) submit(load)
    }
    await cell.run(TICK_MS)
    for (const job of openJobs) {
      if (job.storedPhase !== 'completed') continue
      finishedAtMs.set(job, cell.clock.nowMs())
      openJobs.delete(job)
    }
  }
  return LOADS.map((load) => {
    const jobs = submitted.filter((each) => each.load === load && each.job.receivedAtMs >= WARM_UP_MS && each.job.receivedAtMs < untilMs)
    const lateMs = jobs.map(({ job, dueMs }) => (finishedAtMs.get(job) ?? Infinity) - dueMs).sort((a, b) => a - b)
    const slackS = (share: number): number => Math.round((lateMs[Math.floor(lateMs.length * share)] ?? Infinity) / MS_PER_S * 10) / 10
    const inTime = lateMs.filter((ms) => ms <= 0).length
    const coreSecondsOf = (each: readonly ISubmittedJob[]): number => each.reduce((sum, { job }) => sum + job.coreSeconds, 0)
    const workInTime = coreSecondsOf(jobs.filter(({ job, dueMs }) => (finishedAtMs.get(job) ?? Infinity) <= dueMs)) / coreSecondsOf(jobs)
    return {
      queue: load.queue.name,
      jobs: jobs.length,
      inTime: inTime / jobs.length,
      workInTime,
      slackP50S: slackS(0.5),
      slackP90S: slackS(0.9),
      slackP98S: slackS(0.98)
    }
  })

  function submit (load: ILoad): void {
    const steps: Partial<IStepSpec>[] = []
    const workMsByStep: number[] = []
    const stepCount = random.next() < load.steps - 1 ? 2 : 1
    for (let number = 0; number < stepCount; number += 1) {
      workMsByStep.push(load.workMs * logNormalFactor(random, WORK_DEVIATION))
      steps.push({
        count: Math.max(1, Math.min(Math.round(load.tasks * logNormalFactor(random, WIDTH_DEVIATION)), load.tasks * MAX_WIDTH_FACTOR)),
        cpuMillicores: Math.min(HOST.cpuMillicores / 2, Math.round(load.cpuMillicores * logNormalFactor(random, CPU_DEVIATION))),
        memoryMb: Math.min(HOST.memoryMb / 2, Math.round(load.memoryMb * logNormalFactor(random, WORK_DEVIATION))),
        estimateMs: Math.round((workMsByStep[number] ?? 0) * logNormalFactor(random, load.estimateDeviation)),
        gang: random.next() < load.gangShare,
        after: number === 0 ? [] : [number - 1]
      })
    }
    const job = cell.submit(steps, load.queue)
    const { jobId } = job.spec
    workMsByStep.forEach((ms, number) => { workMs.set(`${jobId}.${number}`, ms) })
    loadByJob.set(jobId, load)
    const chainMs = workMsByStep.reduce((sum, ms) => sum + ms + (load.queue.advice?.baseMs ?? 0), 0)
    submitted.push({ job, load, dueMs: job.receivedAtMs + chainMs * (load.queue.stretch ?? 1) + (load.queue.targetMs ?? 0) })
    openJobs.add(job)
  }
}

/** Draws a log-normal factor with a mean of one; `deviation` is the standard deviation of its logarithm. */
function logNormalFactor (random: IRandom, deviation: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
  return Math.exp(normal * deviation - deviation * deviation / 2)
}

/** Hashes a text to a number between 0 and 1. */
function hashToUnit (text: string): number {
  let value = 17
  for (let index = 0; index < text.length; index += 1) value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
  value = Math.imul(value ^ (value >>> 15), 0x2c1b3c6d)
  return ((value ^ (value >>> 12)) & MAX_HASH) / MAX_HASH
}
