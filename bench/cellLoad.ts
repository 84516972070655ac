/**
 * Measures the cell owner's decisions under a mixed load, with simulated hosts and a simulated clock: the share of each queue's
 * jobs that is done in time, and how late jobs are. `npm run bench -- cellLoad [--hosts N] [--seed N] [--seconds N] [--factor N]`.
 */

import { readFileSync } from 'node:fs'
import yargs from 'yargs'
import { ObjectiveOrder, WorkspaceShareOrder } from '../src/common/cell/JobOrder.js'
import { ShareMeter } from '../src/common/cell/ShareMeter.js'
import { WorkspaceShares } from '../src/common/cell/WorkspaceShares.js'
import { RoomForecast } from '../src/common/cell/RoomForecast.js'
import { NO_RESOURCES } from '../src/common/cell/Resources.js'
import { SeededRandom } from '../src/common/Random.js'
import { GangRates } from '../test/support/GangRates.js'
import { SimulatedCell } from '../test/support/SimulatedCell.js'
import { AdmissionForecast } from './AdmissionForecast.js'
import { AdviceCallLog } from './adviceCalls.js'
import { DominantShareOrder, LateThenShareOrder, ShareFirstOrder, ShareOrder } from './cellOrders.js'
import { tableLines } from '../src/operator/Table.js'

import type { Row } from '../src/operator/Table.js'
import type { IJobOrder } from '../src/common/cell/JobOrder.js'
import type { Job, QueueTerms } from '../src/common/cell/Job.js'
import type { IAdviceRequest, IRunRef, IStepSpec } from '../src/common/cell/Types.js'
import type { ILogger } from '../src/common/observability/Types.js'
import type { IRandom } from '../src/common/Types.js'
import type { ISimulatedCellOptions } from '../test/support/SimulatedCell.js'

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
  /** Steps that take much longer than estimated: their share, and how many times as long; none by default. */
  readonly tail?: { readonly share: number, readonly factor: number }
}

/** Hosts that make no progress for a time, and then continue. Every second time they don't answer either. */
interface IHangs {
  readonly share: number
  readonly forMs: number
  readonly everyMs: number
}

/** A cell and the work that is offered to it. */
export interface ILoadSet {
  readonly host: { readonly cpuMillicores: number, readonly memoryMb: number }
  /** The speeds of the hosts, in turn; 1 by default. */
  readonly speeds?: readonly number[]
  readonly hangs?: IHangs
  readonly loads: readonly ILoad[]
  readonly workspaces: readonly ILoadWorkspace[]
  /** The number of hosts for which the rates are given; `REFERENCE_HOSTS` by default. */
  readonly referenceHosts?: number
  /** The machines that may call for advice, those of them in another region, and the time of a message to these. */
  readonly advice?: { readonly machines: number, readonly farMachines: number, readonly farTripMs: number, readonly ticketValidMs: number }
  readonly bursts?: readonly IQueueBurst[]
}

/** A time, counted from the end of the warm-up, in which a queue gets a multiple of its usual load. */
interface IQueueBurst {
  readonly queue: string
  readonly fromMs: number
  readonly forMs: number
  readonly factor: number
}

export interface ILoadWorkspace {
  readonly name: string
  /** Its part of all jobs. */
  readonly share: number
  /** How many times its usual it sends in the middle of the run; 1 if it sends evenly. */
  readonly burstFactor: number
}

/** Which jobs may be refused. */
type Refuses = 'none' | 'beyondShare' | 'all'

export interface ILoadOptions {
  readonly hosts: number
  readonly seed: number
  readonly durationMs: number
  /** Multiplies the rate of all loads. */
  readonly factor?: number
  readonly set?: ILoadSet
  readonly order?: IJobOrder
  readonly logger?: ILogger
  /** Whether jobs are refused by the forecast of free capacity; callers return up to `MAX_RETURNS` times within `MAX_RETURN_MS`. */
  readonly refuses?: Refuses
}

const REFERENCE_HOSTS = 200
const HOSTS_PER_MACHINE = 6
const MIN_MACHINES = 8
const MAX_RETURNS = 4
const MAX_RETURN_MS = 3000
const FORECAST_INTERVAL_MS = 250
/** What a late result is worth to its caller. */
const LATE_WORTH = 0.2
const WARM_UP_MS = 12_000
const TICK_MS = 10
const MS_PER_S = 1000
const MILLICORES_PER_CORE = 1000
const WORK_DEVIATION = 0.5
const WIDTH_DEVIATION = 0.8
const CPU_DEVIATION = 0.4
const MAX_WIDTH_FACTOR = 6
/** The weight of a workspace, as a multiple of what it usually sends. */
const WEIGHT_FACTOR = 1.5
const NO_TAIL = { share: 0, factor: 1 }
/** The share of the workspaces that count as the worst served. */
const WORST_SHARE = 0.1
const MAX_HASH = 0x7fffffff

/** Four fifths of the cell are in use: half of the work is wide all-at-once jobs, a third is batch jobs, the rest is short and urgent. */
const BUSY_CELL_LOADS: readonly ILoad[] = [
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

const ONE_WORKSPACE: readonly ILoadWorkspace[] = [{ name: 'all', share: 1, burstFactor: 1 }]
const BUSY_CELL: ILoadSet = { host: { cpuMillicores: 20_000, memoryMb: 40_000 }, loads: BUSY_CELL_LOADS, workspaces: ONE_WORKSPACE }
/** The time around the middle of the run in which workspaces send more than usual, as a share of the run. */
const BURST_SHARE = 0.3

interface ISubmittedJob {
  readonly job: Job
  readonly load: ILoad
  /** The time from which the job counts as late, computed from its true run time. */
  readonly dueMs: number
  readonly receivedAtMs: number
  readonly isRefused: boolean
}

/** A job that a caller sends, for the first time or again after refusals. */
interface IAttempt {
  readonly load: ILoad
  readonly workspace: ILoadWorkspace
  readonly steps: readonly Partial<IStepSpec>[]
  readonly workMsByStep: readonly number[]
  readonly firstAtMs: number
  readonly returns: number
}

const ORDERS: Readonly<Record<string, IJobOrder>> = {
  objective: new ObjectiveOrder(),
  workShare: new WorkspaceShareOrder(),
  lateThenShare: new LateThenShareOrder(),
  share: new ShareOrder(),
  shareFirst: new ShareFirstOrder(),
  dominantShare: new DominantShareOrder()
}

/** `npm run bench -- cellLoad` */
export async function run (commandArgs: readonly string[]): Promise<void> {
  const args = await yargs([...commandArgs])
    .option('hosts', { type: 'number', default: REFERENCE_HOSTS })
    .option('seed', { type: 'number', default: 1 })
    .option('seconds', { type: 'number', default: 40 })
    .option('factor', { type: 'number', default: 1, describe: 'multiplies the rate of all loads' })
    .option('loads', { type: 'string', describe: 'a JSON file with the hosts, the loads and the workspaces' })
    .option('order', { choices: Object.keys(ORDERS), default: 'objective' })
    .option('machines', { type: 'number', describe: 'the machines that may call for advice, if the loads name them' })
    .option('calls', { type: 'boolean', default: false, describe: 'prints the calls for advice by queue and reason' })
    .option('refuses', { choices: ['none', 'beyondShare', 'all'] as const, default: 'none' as const, describe: 'jobs that the forecast of free capacity refuses' })
    .parseAsync()
  const read = args.loads === undefined ? BUSY_CELL : JSON.parse(readFileSync(args.loads, 'utf8')) as ILoadSet
  const set = args.machines === undefined ? read : withMachines(read, args.machines)
  const order = ORDERS[args.order]
  const calls = args.calls ? new AdviceCallLog() : undefined
  const { hosts, seed, factor, refuses } = args
  const options = { hosts, seed, durationMs: args.seconds * MS_PER_S, factor, set, refuses }
  const chosen = { ...(order === undefined ? {} : { order }), ...(calls === undefined ? {} : { logger: calls }) }
  const { queues, workspaces } = await simulateLoad({ ...options, ...chosen })
  for (const line of tableLines(queues as unknown as readonly Row[])) process.stdout.write(`${line}\n`)
  if (calls !== undefined) for (const line of tableLines(calls.rows() as unknown as readonly Row[])) process.stdout.write(`${line}\n`)
  for (const line of tableLines(workspaces as unknown as readonly Row[])) process.stdout.write(`${line}\n`)
  const worst = workspaces.map(({ withinWorkInTime }) => withinWorkInTime).sort((a, b) => a - b).slice(0, Math.ceil(workspaces.length * WORST_SHARE))
  process.stdout.write(`work within shares in time: mean of the workspaces ${mean(workspaces.map((row) => row.withinWorkInTime)).toFixed(3)}, ` +
    `of the worst tenth ${mean(worst).toFixed(3)}\n`)
}

/** The results of one queue, for the jobs that were submitted after the warm-up. */
export interface ILoadRow {
  readonly queue: string
  readonly jobs: number
  readonly inTime: number
  /** The share of the work, in core-seconds, that was done in time, so that a wide job counts by its size. */
  readonly workInTime: number
  /** The share of the jobs within the shares of their workspaces that were done in time, and of their work. */
  readonly withinInTime: number
  readonly withinWorkInTime: number
  /** The share of the jobs whose caller gave up after refusals, and what callers got: 1 for a job in time, `LATE_WORTH` for a late one. */
  readonly refused: number
  readonly worth: number
  readonly workWorth: number
  /** The percentiles of the delay of jobs after their due time, in s: half, nine in ten and 98 in a hundred of the jobs are at most this late. */
  readonly slackP50S: number
  readonly slackP90S: number
  readonly slackP98S: number
  /** The work of runs that were stopped or lost before their job was done, in core-seconds. */
  readonly discardedCoreS: number
}

/** The results of one workspace, for its jobs within its share and beyond it. */
export interface IWorkspaceRow {
  readonly workspace: string
  readonly within: number
  readonly withinInTime: number
  /** The share of their work, in core-seconds, that was done in time. */
  readonly withinWorkInTime: number
  readonly beyond: number
  readonly beyondInTime: number
}

export interface ILoadResult {
  readonly queues: readonly ILoadRow[]
  readonly workspaces: readonly IWorkspaceRow[]
}

export async function simulateLoad (options: ILoadOptions): Promise<ILoadResult> {
  const { hosts, seed, durationMs, factor = 1, set = BUSY_CELL, order, logger, refuses = 'none' } = options
  const { host, loads, workspaces, referenceHosts = REFERENCE_HOSTS, advice, bursts = [] } = set
  const meter = new ShareMeter()
  const shares = new WorkspaceShares()
  const jobsPerS = loads.reduce((sum, load) => sum + load.jobsPerS, 0) * factor * hosts / referenceHosts
  shares.setWeights(workspaces.map(({ name, share }) => ({ name, weight: jobsPerS * share * WEIGHT_FACTOR, keyDigests: [], maximum: NO_RESOURCES })))
  const burstFromMs = WARM_UP_MS + durationMs * (1 - BURST_SHARE) / 2
  const burstUntilMs = burstFromMs + durationMs * BURST_SHARE
  const random = new SeededRandom(seed)
  const workMs = new Map<string, number>()
  const loadByJob = new Map<string, ILoad>()
  const gangRates = new GangRates()
  const cell = new SimulatedCell({
    hosts,
    adviceMachines: Math.max(MIN_MACHINES, Math.round(hosts / HOSTS_PER_MACHINE)),
    ...(advice === undefined ? {} : toAdviceOptions(advice)),
    ...(order === undefined ? {} : { order }),
    ...(logger === undefined ? {} : { logger }),
    host: {
      ...host,
      workMs: ({ jobId, step }: IRunRef) => workMs.get(`${jobId}.${step}`) ?? MS_PER_S,
      rateOf: (ref: IRunRef, hostRate: number) => gangRates.rateOf(ref, hostRate)
    },
    allows: (hostId, { jobId, step }: IAdviceRequest) => hashToUnit(`${hostId} ${jobId} ${step}`) < (loadByJob.get(jobId)?.allowedShare ?? 1),
    adviceMs: ({ jobId, hostIds }) => {
      const advice = loadByJob.get(jobId)?.queue.advice
      return advice === undefined ? 0 : advice.baseMs + advice.perHostMs * hostIds.length
    }
  })
  gangRates.attach(cell)
  cell.hosts.forEach((each, number) => { each.speed = set.speeds?.[number % set.speeds.length] ?? 1 })
  const room = new RoomForecast()
  const admission = new AdmissionForecast(room, refuses === 'all')
  const submitted: ISubmittedJob[] = []
  const returns: { readonly atMs: number, readonly submit: () => void }[] = []
  const finishedAtMs = new Map<Job, number>()
  const openJobs = new Set<Job>()
  const untilMs = WARM_UP_MS + durationMs
  while (cell.clock.nowMs() < untilMs + WARM_UP_MS * 2) {
    const nowMs = cell.clock.nowMs()
    if (refuses !== 'none' && nowMs % FORECAST_INTERVAL_MS === 0) room.update([...cell.scheduler.hosts.values()], cell.scheduler.jobs.values(), nowMs)
    for (const each of returns.splice(0)) {
      if (each.atMs <= nowMs) each.submit()
      else returns.push(each)
    }
    const isBurst = nowMs >= burstFromMs && nowMs < burstUntilMs
    for (const load of loads) {
      for (const workspace of workspaces) {
        const jobsPerTick = load.jobsPerS * factor * burstOf(load, nowMs) * hosts / referenceHosts * TICK_MS / MS_PER_S * workspace.share
        const expected = jobsPerTick * (isBurst ? workspace.burstFactor : 1)
        const count = Math.floor(expected) + (random.next() < expected % 1 ? 1 : 0)
        for (let number = 0; number < count; number += 1) submit(load, workspace)
      }
    }
    if (set.hangs !== undefined) applyHangs(cell, set.hangs, nowMs)
    await cell.run(TICK_MS)
    for (const job of openJobs) {
      if (job.storedPhase !== 'completed') continue
      finishedAtMs.set(job, cell.clock.nowMs())
      openJobs.delete(job)
    }
  }
  const measured = submitted.filter(({ receivedAtMs }) => receivedAtMs >= WARM_UP_MS && receivedAtMs < untilMs)
  const isInTime = ({ job, dueMs }: ISubmittedJob): boolean => (finishedAtMs.get(job) ?? Infinity) <= dueMs
  const worthOf = (each: ISubmittedJob): number => isInTime(each) ? 1 : finishedAtMs.has(each.job) ? LATE_WORTH : 0
  const coreSecondsOf = (each: readonly ISubmittedJob[]): number => each.reduce((sum, { job }) => sum + job.coreSeconds, 0)
  const discarded = sumDiscarded(cell)
  return { queues: loads.map(toQueueRow), workspaces: workspaces.map(toWorkspaceRow) }

  function burstOf ({ queue }: ILoad, nowMs: number): number {
    const sinceMs = nowMs - WARM_UP_MS
    const active = bursts.find((burst) => burst.queue === queue.name && sinceMs >= burst.fromMs && sinceMs < burst.fromMs + burst.forMs)
    return active?.factor ?? 1
  }

  function toWorkspaceRow ({ name }: ILoadWorkspace): IWorkspaceRow {
    const jobs = measured.filter(({ job }) => job.workspace === name)
    const within = jobs.filter(({ job }) => !job.isBeyondShare)
    const beyond = jobs.filter(({ job }) => job.isBeyondShare)
    return {
      workspace: name,
      within: within.length,
      withinInTime: within.length === 0 ? 1 : within.filter(isInTime).length / within.length,
      withinWorkInTime: within.length === 0 ? 1 : coreSecondsOf(within.filter(isInTime)) / coreSecondsOf(within),
      beyond: beyond.length,
      beyondInTime: beyond.length === 0 ? 1 : beyond.filter(isInTime).length / beyond.length
    }
  }

  function toQueueRow (load: ILoad): ILoadRow {
    const jobs = measured.filter((each) => each.load === load)
    const within = jobs.filter(({ job }) => !job.isBeyondShare)
    const lateMs = jobs.map(({ job, dueMs }) => (finishedAtMs.get(job) ?? Infinity) - dueMs).sort((a, b) => a - b)
    const slackS = (share: number): number => Math.round((lateMs[Math.floor(lateMs.length * share)] ?? Infinity) / MS_PER_S * 10) / 10
    const inTime = lateMs.filter((ms) => ms <= 0).length
    const workInTime = coreSecondsOf(jobs.filter(isInTime)) / coreSecondsOf(jobs)
    return {
      queue: load.queue.name,
      jobs: jobs.length,
      inTime: inTime / jobs.length,
      workInTime,
      withinInTime: within.filter(isInTime).length / within.length,
      withinWorkInTime: coreSecondsOf(within.filter(isInTime)) / coreSecondsOf(within),
      refused: jobs.filter(({ isRefused }) => isRefused).length / jobs.length,
      worth: mean(jobs.map(worthOf)),
      workWorth: jobs.reduce((sum, each) => sum + each.job.coreSeconds * worthOf(each), 0) / coreSecondsOf(jobs),
      slackP50S: slackS(0.5),
      slackP90S: slackS(0.9),
      slackP98S: slackS(0.98),
      discardedCoreS: Math.round(jobs.reduce((sum, { job }) => sum + (discarded.get(job.spec.jobId) ?? 0), 0))
    }
  }

  function submit (load: ILoad, workspace: ILoadWorkspace): void {
    const steps: Partial<IStepSpec>[] = []
    const workMsByStep: number[] = []
    const stepCount = random.next() < load.steps - 1 ? 2 : 1
    for (let number = 0; number < stepCount; number += 1) {
      const usualMs = load.workMs * logNormalFactor(random, WORK_DEVIATION)
      const { share, factor: tailFactor } = load.tail ?? NO_TAIL
      workMsByStep.push(share > 0 && random.next() < share ? usualMs * tailFactor : usualMs)
      steps.push({
        count: Math.max(1, Math.min(Math.round(load.tasks * logNormalFactor(random, WIDTH_DEVIATION)), load.tasks * MAX_WIDTH_FACTOR)),
        cpuMillicores: Math.min(host.cpuMillicores / 2, Math.round(load.cpuMillicores * logNormalFactor(random, CPU_DEVIATION))),
        memoryMb: Math.min(host.memoryMb / 2, Math.round(load.memoryMb * logNormalFactor(random, WORK_DEVIATION))),
        estimateMs: Math.round(usualMs * logNormalFactor(random, load.estimateDeviation)),
        gang: random.next() < load.gangShare,
        after: number === 0 ? [] : [number - 1]
      })
    }
    offer({ load, workspace, steps, workMsByStep, firstAtMs: cell.clock.nowMs(), returns: 0 })
  }

  function offer (attempt: IAttempt): void {
    const { load, workspace, steps, workMsByStep, firstAtMs } = attempt
    const nowMs = cell.clock.nowMs()
    const job = cell.createJob(steps, load.queue, workspace.name)
    const cores = hosts * host.cpuMillicores / MILLICORES_PER_CORE
    job.isBeyondWorkShare = shares.isBeyondShare(workspace.name, cores, nowMs)
    const refusal = refuses !== 'none' ? admission.findRefusal(job, nowMs) : undefined
    const returnAtMs = nowMs + Math.ceil((refusal?.retryAfterMs ?? 0) / MS_PER_S) * MS_PER_S
    const mayReturn = attempt.returns < MAX_RETURNS && returnAtMs <= firstAtMs + MAX_RETURN_MS
    if (refusal !== undefined && mayReturn) {
      returns.push({ atMs: returnAtMs, submit: () => { offer({ ...attempt, returns: attempt.returns + 1 }) } })
      return
    }
    job.isBeyondShare = !meter.recordJob(workspace.name, jobsPerS * workspace.share * WEIGHT_FACTOR, firstAtMs)
    const chainMs = workMsByStep.reduce((sum, ms) => sum + ms + (load.queue.advice?.baseMs ?? 0), 0)
    const dueMs = firstAtMs + chainMs * (load.queue.stretch ?? 1) + (load.queue.targetMs ?? 0)
    submitted.push({ job, load, dueMs, receivedAtMs: firstAtMs, isRefused: refusal !== undefined })
    if (refusal !== undefined) return
    const { jobId } = job.spec
    workMsByStep.forEach((ms, number) => { workMs.set(`${jobId}.${number}`, ms) })
    loadByJob.set(jobId, load)
    shares.recordJob(job, cores, nowMs)
    room.addJob(job)
    cell.accept(job)
    openJobs.add(job)
  }
}

/** Each time, other hosts hang: a few of each rack. */
function applyHangs (cell: SimulatedCell, { share, forMs, everyMs }: IHangs, nowMs: number): void {
  const round = Math.floor(nowMs / everyMs)
  const isActive = round > 0 && nowMs % everyMs < forMs
  cell.hosts.forEach((host, number) => {
    host.isHanging = isActive && hashToUnit(`hang ${round} ${number}`) < share
    host.isSilent = host.isHanging && round % 2 === 0
  })
}

/** The work of runs without a result, in core-seconds, by job. */
function sumDiscarded (cell: SimulatedCell): ReadonlyMap<string, number> {
  const sums = new Map<string, number>()
  for (const { ref: { jobId, step }, doneMs } of cell.hosts.flatMap(({ discarded }) => discarded)) {
    const millicores = cell.scheduler.jobs.get(jobId)?.steps[step]?.spec.cpuMillicores ?? 0
    sums.set(jobId, (sums.get(jobId) ?? 0) + doneMs * millicores / 1e6)
  }
  return sums
}

function toAdviceOptions ({ machines, farMachines, farTripMs, ticketValidMs }: NonNullable<ILoadSet['advice']>): Partial<ISimulatedCellOptions> {
  return { adviceMachines: machines, isAdviceSerial: true, farMachines: { count: farMachines, tripMs: farTripMs }, ticketValidMs }
}

/** The same loads with another number of machines that may call for advice, as many of them far from the owner in proportion. */
export function withMachines (set: ILoadSet, machines: number): ILoadSet {
  const { advice } = set
  if (advice === undefined) return set
  return { ...set, advice: { ...advice, machines, farMachines: Math.round(machines * advice.farMachines / advice.machines) } }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
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
