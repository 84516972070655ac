import test from 'ava'

import { DecisionEngine } from '../src/common/policy/DecisionEngine.js'
import { NaiveEngine } from '../src/common/policy/NaiveEngine.js'
import { SeededRandom } from '../src/common/Random.js'
import { REQUEST_SCENARIOS } from './decisions/RequestScenarios.js'
import { TASK_SCENARIOS } from './decisions/TaskScenarios.js'
import { VirtualClock, VirtualRun } from './decisions/VirtualRun.js'

import type { IDecisionEngine } from '../src/common/policy/Types.js'
import type { IScenario } from './decisions/Types.js'

interface IServiceSummary {
  readonly placed: number
  readonly refused: number
  readonly gaveUp: number
  readonly starved: number
  readonly servedShare: number
  readonly waitP50Ms: number
  readonly waitP99Ms: number
  readonly waitWorstMs: number
}

interface ISummary {
  readonly useShare: number
  readonly jain: number
  readonly overCapacity: number
  readonly refusedMetShare: number
  readonly lostAfterFirstSecondShare: number
  readonly placedAfterHeal: number
  readonly services: Readonly<Record<string, IServiceSummary>>
}

const SCENARIOS = new Map([...REQUEST_SCENARIOS, ...TASK_SCENARIOS].map((create) => create(1)).map((scenario) => [scenario.name, scenario]))

/** Limits a scenario of the bench to its first `untilMs` milliseconds. */
function shortenScenario (name: string, untilMs: number, measuredFromMs: number): IScenario {
  const scenario = SCENARIOS.get(name)
  if (scenario === undefined) throw new Error(`no scenario ${name}`)
  return { ...scenario, arrivals: scenario.arrivals.filter(({ atMs }) => atMs < untilMs), untilMs, measuredFromMs }
}

function runWith (scenario: IScenario, engine: (clock: VirtualClock) => IDecisionEngine): ISummary {
  const clock = new VirtualClock()
  const summary = new VirtualRun(scenario, engine(clock), clock).run() as unknown as ISummary
  if (summary.overCapacity > 0) throw new Error('a host exceeded its capacity')
  return summary
}

function runDecisionEngine (scenario: IScenario): ISummary {
  return runWith(scenario, (clock) => new DecisionEngine(clock, new SeededRandom(1), { kind: scenario.kind }))
}

function serviceOf (summary: ISummary, service: string): IServiceSummary {
  const outcome = summary.services[service]
  if (outcome === undefined) throw new Error(`no service ${service}`)
  return outcome
}

/*
 * Twice as many requests arrive as the slots can serve. In order of arrival, lookups would wait behind all other requests; by
 * priority alone, budgets would never be served.
 */
test('at twice saturation urgent work waits briefly and patient work gets its floor share', (t) => {
  const summary = runDecisionEngine(shortenScenario('saturation-2x', 20_000, 5_000))
  t.true(serviceOf(summary, 'lookup').waitP99Ms <= 1_100)
  t.is(serviceOf(summary, 'lookup').gaveUp, 0)
  t.true(serviceOf(summary, 'budget').servedShare >= 0.2)
  t.is(serviceOf(summary, 'sweep').gaveUp, 0, 'what is admitted is served')
  t.true(summary.useShare >= 0.95)
})

/*
 * One caller sends nine tenths of all requests, which is more than the slots can serve. Without fair shares, the requests of the
 * other callers would wait behind its requests.
 */
test('a large caller does not increase the waits of the other callers', (t) => {
  const alone = runDecisionEngine(shortenScenario('one-caller-90%-others-alone', 15_000, 0))
  const together = runDecisionEngine(shortenScenario('one-caller-90%', 15_000, 0))
  t.true(serviceOf(together, 'small').waitP99Ms <= serviceOf(alone, 'small').waitP99Ms * 1.2)
  t.true(together.jain >= 0.98)
})

test('requests of an urgent burst that cannot be served in time are refused', (t) => {
  const summary = runDecisionEngine(shortenScenario('burst', 30_000, 5_000))
  const { placed, refused, gaveUp } = serviceOf(summary, 'rush')
  t.true(refused > 0 && placed > 0)
  t.true(gaveUp < 0.05 * (placed + refused + gaveUp))
  t.is(serviceOf(summary, 'budget').starved, 0)
})

/*
 * One host answers ten times slower than the others for half a minute. Round-robin placement would pile up requests there.
 */
test('a slow host does not delay urgent requests', (t) => {
  const summary = runDecisionEngine(shortenScenario('slow-upstream', 30_000, 10_000))
  t.true(serviceOf(summary, 'lookup').waitP99Ms <= 10)
})

/*
 * One host fails every request within a millisecond, so it always has free slots. Without countermeasures it would receive and
 * fail a large share of all requests.
 */
test('a host that fails every request loses few requests and is used again after it recovers', (t) => {
  const scenario = shortenScenario('fails-at-once', 40_000, 5_000)
  const summary = runDecisionEngine(scenario)
  t.true(summary.lostAfterFirstSecondShare <= 0.02)
  t.true(summary.placedAfterHeal > 0)
  t.true(runWith(scenario, (clock) => new NaiveEngine(clock)).lostAfterFirstSecondShare > 0.1, 'the naive engine loses a large share')
})

test('short requests among long ones are served, and patient work gets its floor share', (t) => {
  const summary = runDecisionEngine(shortenScenario('short-and-long', 20_000, 5_000))
  t.true(serviceOf(summary, 'lookup').waitP99Ms <= 1_100)
  t.true(serviceOf(summary, 'budget').servedShare >= 0.2)
})

/*
 * Half of the hosts disappear at once, as in the loss of a failure domain. Their running work is lost, and the demand is far above
 * the remaining capacity.
 */
test('urgent work still waits briefly when half of the hosts are lost', (t) => {
  const summary = runDecisionEngine(shortenScenario('half-the-hosts-gone', 35_000, 5_000))
  t.true(serviceOf(summary, 'lookup').waitP99Ms <= 1_100)
})

test('a refused request that returns after the given delay is served', (t) => {
  const summary = runDecisionEngine({ ...shortenScenario('refusal', 15_000, 1_000), untilMs: 50_000 })
  t.true(summary.refusedMetShare >= 0.9)
})

test('tasks of mixed sizes fill the hosts, and all-at-once jobs among small tasks start within seconds', (t) => {
  t.true(runDecisionEngine(shortenScenario('mixed-sizes', 150_000, 60_000)).useShare >= 0.95)
  const jobs = serviceOf(runDecisionEngine(shortenScenario('jobs-among-small-tasks', 100_000, 20_000)), 'whole')
  t.true(jobs.placed > 0)
  t.true(jobs.waitWorstMs <= 10_000)
})

test('a task that can never run is refused and does not block other tasks', (t) => {
  const summary = runDecisionEngine(shortenScenario('can-never-run', 60_000, 20_000))
  t.is(serviceOf(summary, 'never').placed, 0)
  t.true(serviceOf(summary, 'never').refused > 0)
  t.is(serviceOf(summary, 'mixed').refused, 0)
})

test('urgent tasks among long preemptible ones wait briefly', (t) => {
  const summary = runDecisionEngine(shortenScenario('urgent-among-long', 120_000, 60_000))
  t.true(serviceOf(summary, 'stops').waitP99Ms <= 1_100)
})

/*
 * Tasks use up to ten times what they declare. Placement by declared sizes overcommits the hosts by far.
 */
test('placement by learnt sizes overcommits hosts less than placement by declared sizes', (t) => {
  const scenario = shortenScenario('sizes-off-by-10', 120_000, 60_000)
  const overUsedShare = (summary: ISummary): number => (summary as unknown as { readonly overUsedShare: number }).overUsedShare
  t.true(overUsedShare(runDecisionEngine(scenario)) < overUsedShare(runWith(scenario, (clock) => new NaiveEngine(clock))))
})
