/**
 * One soak: real controllers beside the stand-in of the platform, callers, faults from a seed, and a judge.
 */

import { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import { SeededRandom } from '../../src/common/Random.js'
import { ControllerCell } from '../support/ControllerCell.js'
import { Callers } from './Callers.js'
import { ConfigProbes } from './ConfigProbes.js'
import { Faults } from './Faults.js'
import { Judge } from './Judge.js'

export interface ISoakOptions {
  readonly seed: number
  /** How long faults are injected, in ms. */
  readonly faultsMs: number
  readonly controllers: number
  readonly hosts: number
}

export interface ISoakReport {
  readonly seed: number
  readonly violations: readonly string[]
  readonly submitted: number
  readonly accepted: number
  readonly starts: number
  readonly faults: readonly string[]
  /** The last log lines of each process, by its id; for a seed that failed. */
  readonly logs: ReadonlyMap<string, readonly string[]>
}

const HOST_CPU = 4000
const MAX_HOLD_MS = 3000
const FAIL_SHARE = 0.03
const CALLER_EVERY_MS = 60
const FAULT_EVERY_MS = 900
/** After the faults a job has this long to end, in ms: the longest lease, its margin, and its runs. */
const SETTLE_MS = 40_000
const POLL_MS = 200

export async function soak (options: ISoakOptions): Promise<ISoakReport> {
  const platform = new PlatformStandIn({ seed: options.seed, hosts: options.hosts, hostCpu: HOST_CPU, maxHoldMs: MAX_HOLD_MS, failShare: FAIL_SHARE })
  const judge = new Judge(HOST_CPU)
  await platform.start(judge)
  const cell = new ControllerCell(platform, MAX_HOLD_MS)
  const random = new SeededRandom(options.seed + 1)
  const callers = new Callers(cell.controllers, judge, new SeededRandom(options.seed + 2))
  const probes = new ConfigProbes(cell.controllers, platform, judge)
  const faults = new Faults(cell, platform, judge, random)
  try {
    await cell.start(options.controllers)
    probes.start()
    await play(options.faultsMs, callers, faults, random)
    await settle(callers, judge)
    await settleConfig(probes, judge, platform.configVersion)
  } finally {
    await probes.close()
    await callers.close()
    await cell.close()
    await platform.close()
  }
  const logs = new Map(cell.controllers.map(({ id, process }) => [id, [...process.stdout, ...process.stderr]]))
  const { submitted, accepted } = callers
  return { seed: options.seed, violations: judge.violations, submitted, accepted, starts: judge.starts, faults: faults.log, logs }
}

async function play (forMs: number, callers: Callers, faults: Faults, random: SeededRandom): Promise<void> {
  const untilMs = performance.now() + forMs
  const calling = setInterval(() => { callers.submit() }, CALLER_EVERY_MS)
  while (performance.now() < untilMs) {
    await pause(FAULT_EVERY_MS * (0.4 + random.next()))
    faults.inject()
  }
  await faults.ended()
  clearInterval(calling)
  await callers.settled()
}

async function settle (callers: Callers, judge: Judge): Promise<void> {
  const untilMs = performance.now() + SETTLE_MS
  let open = [...judge.jobs.values()].filter((job) => job.accepted)
  const states = new Map<string, string | undefined>()
  while (open.length > 0 && performance.now() < untilMs) {
    for (const { jobId } of open) states.set(jobId, await callers.state(jobId, callers.queues.get(jobId) ?? 'urgent'))
    open = open.filter(({ finalState }) => finalState === undefined)
    if (open.length > 0) await pause(POLL_MS)
  }
  for (const { jobId } of open) judge.noteUnfinished(jobId, states.get(jobId) ?? 'not told')
}

async function settleConfig (probes: ConfigProbes, judge: Judge, version: number): Promise<void> {
  const untilMs = performance.now() + SETTLE_MS
  let behind = await probes.behind()
  while (behind.length > 0 && performance.now() < untilMs) {
    await pause(POLL_MS)
    behind = await probes.behind()
  }
  for (const id of behind) judge.noteBehind(id, version)
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, ms) })
}
