/**
 * Measures what a scheduling pass costs by hosts and waiting steps: `npm run bench -- passCost [--hosts N …] [--steps N …]`.
 *
 * Each cell is measured twice: its first pass, which places what has room, and the passes after it, in which nothing has changed.
 */

import yargs from 'yargs'
import { StepAdvice } from '../src/common/cell/StepAdvice.js'
import { SeededRandom } from '../src/common/Random.js'
import { SimulatedCell } from '../test/support/SimulatedCell.js'
import { tableLines } from '../src/operator/Table.js'

import type { Job, QueueTerms, Step } from '../src/common/cell/Job.js'
import type { IStepSpec } from '../src/common/cell/Types.js'
import type { IRandom } from '../src/common/Types.js'
import type { Row } from '../src/operator/Table.js'

/** `full`: runs use all processors; `half`: those of every second host; `takenOver`: a new owner has the jobs, and no runs. */
type CellKind = 'full' | 'half' | 'takenOver'

interface ICase {
  readonly kind: CellKind
  /** Whether the advice service has answered for each step. */
  readonly isAdviceKnown: boolean
  readonly hosts: number
  readonly steps: number
}

interface IPassCost extends ICase {
  readonly firstMs: number
  readonly placed: number
  readonly nextMs: number
}

/** One kind of waiting step. */
interface IKind {
  readonly queue: Partial<QueueTerms> & { readonly name: string }
  /** Its part of all steps. */
  readonly share: number
  readonly gangShare: number
  readonly tasks: number
  readonly spec: Partial<IStepSpec>
  readonly allowedShare: number
}

const HOST = { cpuMillicores: 64_000, memoryMb: 256_000 }
const VALID_MS = 1500
const KINDS: readonly IKind[] = [
  {
    queue: { name: 'wide', priority: 1, maxAttempts: 4, stretch: 2.2, targetMs: 0, advice: { baseMs: 340, perHostMs: 4.9, validMs: VALID_MS } },
    share: 0.2,
    gangShare: 1,
    tasks: 20,
    spec: { cpuMillicores: 18_000, memoryMb: 36_000, estimateMs: 4000 },
    allowedShare: 0.25
  },
  {
    queue: { name: 'batch', priority: 2, maxAttempts: 3, stretch: 4, targetMs: 0, advice: { baseMs: 130, perHostMs: 1.8, validMs: VALID_MS } },
    share: 0.3,
    gangShare: 0,
    tasks: 25,
    spec: { cpuMillicores: 6900, memoryMb: 14_000, estimateMs: 3400 },
    allowedShare: 0.45
  },
  {
    queue: { name: 'urgent', priority: 0, maxAttempts: 3, stretch: 1.5, targetMs: 0, advice: { baseMs: 7.2, perHostMs: 0.1, validMs: VALID_MS } },
    share: 0.5,
    gangShare: 0.3,
    tasks: 3,
    spec: { cpuMillicores: 9900, memoryMb: 28_000, estimateMs: 640 },
    allowedShare: 0.7
  }
]
const SPEEDS = [0.8, 1, 1.25]
/** The runs that occupy the hosts: eight on each. */
const FILLER: Partial<IStepSpec> = { cpuMillicores: 8000, memoryMb: 20_000 }
const FILLERS_PER_HOST = 8
const FILLER_MS = 6000
const DEVIATION = 0.4
const SETTLE_MS = 1500
const SEED = 1
const NEVER_MS = 1e9

/** `npm run bench -- passCost` */
export async function run (commandArgs: readonly string[]): Promise<void> {
  const args = await yargs([...commandArgs])
    .option('hosts', { type: 'number', array: true, default: [60, 123, 246, 492] })
    .option('steps', { type: 'number', array: true, default: [100, 300, 900] })
    .option('passes', { type: 'number', default: 10, describe: 'the passes after the first one, of which the median counts' })
    .option('repeats', { type: 'number', default: 3, describe: 'the cells of each kind, of which the median counts' })
    .parseAsync()
  const rows: IPassCost[] = []
  for (const kind of ['full', 'half', 'takenOver'] as const) {
    for (const isAdviceKnown of [true, false]) {
      for (const hosts of args.hosts) {
        for (const steps of args.steps) rows.push(await measure({ kind, isAdviceKnown, hosts, steps }, args.repeats, args.passes))
      }
    }
  }
  for (const line of tableLines(rows as unknown as readonly Row[])) process.stdout.write(`${line}\n`)
}

async function measure (each: ICase, repeats: number, passes: number): Promise<IPassCost> {
  const firstMs: number[] = []
  const nextMs: number[] = []
  let placed = 0
  for (let repeat = 0; repeat < repeats; repeat += 1) {
    const cell = await createCell(each, new SeededRandom(SEED + repeat))
    firstMs.push(timePass(cell))
    placed = countPrepared(cell)
    const times: number[] = []
    for (let pass = 0; pass < passes; pass += 1) times.push(timePass(cell))
    nextMs.push(median(times))
    cell.scheduler.dispose()
  }
  return { ...each, firstMs: round(median(firstMs)), placed, nextMs: round(median(nextMs)) }
}

async function createCell ({ kind, isAdviceKnown, hosts, steps }: ICase, random: IRandom): Promise<SimulatedCell> {
  const cell = new SimulatedCell({ hosts, host: { ...HOST, workMs: () => FILLER_MS }, adviceMs: () => NEVER_MS })
  cell.hosts.forEach((host, number) => { host.speed = SPEEDS[number % SPEEDS.length] ?? 1 })
  await cell.run(SETTLE_MS)
  const occupied = { full: hosts, half: Math.floor(hosts / 2), takenOver: 0 }[kind]
  for (let number = 0; number < occupied; number += 1) {
    const estimateMs = FILLER_MS * Math.exp(normal(random) * DEVIATION)
    cell.submit([{ ...FILLER, count: FILLERS_PER_HOST, estimateMs }], { name: 'filler', priority: 0 })
  }
  await cell.run(SETTLE_MS)
  cell.passIntervalMs = Infinity
  for (let number = 0; number < steps; number += 1) submitStep(cell, random)
  if (kind === 'takenOver') cell.takeOver()
  await cell.run(SETTLE_MS)
  if (isAdviceKnown) for (const job of cell.scheduler.jobs.values()) for (const step of job.steps) recordAdvice(cell, step, random)
  return cell
}

function submitStep (cell: SimulatedCell, random: IRandom): Job {
  const { queue, spec, tasks, gangShare } = chooseKind(random)
  const factor = Math.exp(normal(random) * DEVIATION)
  const gang = random.next() < gangShare
  const count = Math.max(1, Math.round(tasks * Math.exp(normal(random) * DEVIATION)))
  const cpuMillicores = Math.min(HOST.cpuMillicores, Math.round((spec.cpuMillicores ?? 0) * factor))
  const memoryMb = Math.min(HOST.memoryMb, Math.round((spec.memoryMb ?? 0) * factor))
  return cell.submit([{ ...spec, count, gang, cpuMillicores, memoryMb }], queue)
}

function chooseKind (random: IRandom): IKind {
  let left = random.next()
  for (const kind of KINDS) {
    left -= kind.share
    if (left < 0) return kind
  }
  return KINDS[0] as IKind
}

/** Records an answer about all hosts. */
function recordAdvice (cell: SimulatedCell, step: Step, random: IRandom): void {
  const kind = KINDS.find(({ queue }) => queue.name === step.job.queue.name)
  if (kind === undefined) return
  const { hosts } = cell.scheduler
  const hostIds = [...hosts.keys()]
  const allowed = hostIds.filter(() => random.next() < kind.allowedShare).map((hostId) => ({ hostId, ticket: '0' }))
  step.advice = new StepAdvice()
  step.advice.recordAnswer(hostIds, allowed, cell.clock.nowMs() + VALID_MS, (hostId) => hosts.get(hostId)?.bornMs)
}

function timePass (cell: SimulatedCell): number {
  const startedAtMs = performance.now()
  cell.scheduler.runPass()
  return performance.now() - startedAtMs
}

function countPrepared (cell: SimulatedCell): number {
  let count = 0
  for (const host of cell.scheduler.hosts.values()) for (const { phase } of host.attempts) if (phase === 'preparing') count += 1
  return count
}

function normal (random: IRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
}

function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}

function round (ms: number): number {
  return Math.round(ms * 100) / 100
}
