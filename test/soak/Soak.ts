/**
 * Runs one soak: real controllers with the stand-in of the platform, callers, faults drawn from a seed, and a checker of the
 * guarantees.
 */

import { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import { SeededRandom } from '../../src/common/Random.js'
import { OWNER_KEY } from '../../src/cell/Keys.js'
import { ControllerCell } from '../support/ControllerCell.js'
import { SimulatedCallers } from './SimulatedCallers.js'
import { ConfigProber } from './ConfigProber.js'
import { FaultInjector } from './FaultInjector.js'
import { InvariantChecker } from './InvariantChecker.js'
import { KeyProber } from './KeyProber.js'

export interface ISoakOptions {
  readonly seed: number
  /** The time for which faults are injected, in ms. */
  readonly faultsMs: number
  readonly controllers: number
  readonly hosts: number
  /** The names of the faults to draw from; all if empty. */
  readonly faults: readonly string[]
}

export interface ISoakReport {
  readonly seed: number
  readonly violations: readonly string[]
  readonly submitted: number
  readonly accepted: number
  readonly starts: number
  readonly faults: readonly string[]
  /** The last log lines of each process, by its id, and those of all hosts; written to files if the seed fails. */
  readonly logs: ReadonlyMap<string, readonly string[]>
}

const HOST_CPU = 4000
/** The terms of the advice service; by the seed, it takes several times as long as these or a part of that. */
const ADVICE = {
  urgent: { decideMs: 7, intervalMs: 0.1, validMs: 1500, allowedKinds: 2 },
  wide: { decideMs: 340, intervalMs: 5, validMs: 1500, allowedKinds: 1 },
  night: { decideMs: 130, intervalMs: 2, validMs: 1500, allowedKinds: 2 }
}
const ADVICE_FACTORS = [0.3, 1, 2]
const MAX_HOLD_MS = 3000
const FAIL_SHARE = 0.03
/** Jobs of the queue `night` take up to 20,000 millicores and all others up to 4500, so no job is too wide for its workspace. */
const WORKSPACES = [['hot', 24_000], ['calm', 24_000], ['quiet', 6000]]
  .map(([name, maxCpu]) => ({ name: String(name), keys: [`${name}-key-1`, `${name}-key-2`], maxCpu: Number(maxCpu) }))
/** The share of jobs in the queue `night`. */
const NIGHT_SHARE = 0.05
const SUBMIT_INTERVAL_MS = 60
const FAULT_INTERVAL_MS = 900
/** The time that jobs have to end after the last fault, in ms; it covers the longest lease, its margin, and the runs. */
const SETTLE_TIMEOUT_MS = 40_000
/** The leases of earlier owners are over this long after the present one took the cell, in ms: it counts 4 s more, by the slowest clock, and 1 s. */
const LEASES_END_MS = (MAX_HOLD_MS + 4000) * 1.02 + 1000
/** The time in which an owner acts on the end of a lease, in ms. */
const LEASE_CHECK_MS = 1000
const POLL_MS = 200
/** The links that the controllers believe to have with even seeds, in turn, in Mbit/s: owners on narrow ones hand the cell over while they serve. */
const UNLIKE_LINKS_MBPS = [10, 200, 10]

export async function runSoak (options: ISoakOptions): Promise<ISoakReport> {
  const adviceFactor = ADVICE_FACTORS[options.seed % ADVICE_FACTORS.length] ?? 1
  const platform = new PlatformStandIn({
    seed: options.seed,
    hosts: options.hosts,
    hostCpu: HOST_CPU,
    maxHoldMs: MAX_HOLD_MS,
    failShare: FAIL_SHARE,
    workspaces: WORKSPACES,
    advice: Object.fromEntries(Object.entries(ADVICE).map(([queue, terms]) => [queue, { ...terms, decideMs: terms.decideMs * adviceFactor }]))
  })
  const checker = new InvariantChecker(HOST_CPU)
  for (const { name, maxCpu } of WORKSPACES) checker.recordLimit(name, maxCpu)
  await platform.start(checker)
  const cell = new ControllerCell(platform, MAX_HOLD_MS, [], undefined, options.seed % 2 === 0 ? UNLIKE_LINKS_MBPS : [])
  const random = new SeededRandom(options.seed + 1)
  const callers = new SimulatedCallers(cell.controllers, platform, checker, new SeededRandom(options.seed + 2), NIGHT_SHARE)
  const probes = new ConfigProber(cell.controllers, platform, checker)
  const keyProbes = new KeyProber(cell.controllers, platform, checker)
  const faults = new FaultInjector(cell, platform, checker, random, options.faults)
  try {
    await cell.start(options.controllers)
    probes.start()
    keyProbes.start()
    await runWithFaults(options.faultsMs, callers, faults, random)
    await waitForJobs(callers, checker, platform)
    await waitForConfig(probes, checker, platform.configVersion)
    await keyProbes.checkRemovedKeys()
  } finally {
    await probes.close()
    await keyProbes.close()
    await callers.close()
    await cell.close()
    await platform.close()
  }
  const outputs = cell.controllers.map(({ id, earlierOutput, process }) => [id, [...earlierOutput, ...process.stdout, ...process.stderr]] as const)
  const logs = new Map<string, readonly string[]>([...outputs, ['hosts', checker.hostLog]])
  const { submitted, accepted } = callers
  return { seed: options.seed, violations: checker.violations, submitted, accepted, starts: checker.starts, faults: faults.log, logs }
}

async function runWithFaults (forMs: number, callers: SimulatedCallers, faults: FaultInjector, random: SeededRandom): Promise<void> {
  const untilMs = performance.now() + forMs
  const submitTimer = setInterval(() => { callers.submit() }, SUBMIT_INTERVAL_MS)
  while (performance.now() < untilMs) {
    await pause(FAULT_INTERVAL_MS * (0.4 + random.next()))
    faults.inject()
  }
  await faults.waitUntilEnded()
  clearInterval(submitTimer)
  await callers.waitForSubmissions()
}

async function waitForJobs (callers: SimulatedCallers, checker: InvariantChecker, platform: PlatformStandIn): Promise<void> {
  const untilMs = performance.now() + SETTLE_TIMEOUT_MS
  let ownedSinceMs = performance.now()
  let ownerRevision = platform.store.revisionOf(OWNER_KEY)
  const stallTimer = setInterval(() => {
    const nowMs = performance.now()
    if (platform.store.revisionOf(OWNER_KEY) !== ownerRevision) ownedSinceMs = nowMs
    ownerRevision = platform.store.revisionOf(OWNER_KEY)
    if (nowMs > ownedSinceMs + LEASES_END_MS + LEASE_CHECK_MS) checker.checkStalledJobs(platform)
  }, POLL_MS)
  let open = [...checker.jobs.values()].filter((job) => job.accepted && job.neverRuns !== true)
  const states = new Map<string, string | undefined>()
  while (open.length > 0 && performance.now() < untilMs) {
    for (const { jobId } of open) states.set(jobId, await callers.queryState(jobId, callers.queues.get(jobId) ?? 'urgent'))
    open = open.filter(({ finalState }) => finalState === undefined)
    if (open.length > 0) await pause(POLL_MS)
  }
  clearInterval(stallTimer)
  for (const { jobId } of open) checker.reportUnfinishedJob(jobId, states.get(jobId) ?? 'in an unknown state')
}

async function waitForConfig (probes: ConfigProber, checker: InvariantChecker, version: number): Promise<void> {
  const untilMs = performance.now() + SETTLE_TIMEOUT_MS
  let outdated = await probes.outdatedControllers()
  while (outdated.length > 0 && performance.now() < untilMs) {
    await pause(POLL_MS)
    outdated = await probes.outdatedControllers()
  }
  for (const id of outdated) checker.reportOutdatedConfig(id, version)
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, ms) })
}
