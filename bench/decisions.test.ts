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

/** The first `untilMs` of a scenario of the bench. */
function shortened (name: string, untilMs: number, measuredFromMs: number): IScenario {
  const scenario = SCENARIOS.get(name)
  if (scenario === undefined) throw new Error(`no scenario ${name}`)
  return { ...scenario, arrivals: scenario.arrivals.filter(({ atMs }) => atMs < untilMs), untilMs, measuredFromMs }
}

function runWith (scenario: IScenario, engine: (clock: VirtualClock) => IDecisionEngine): ISummary {
  const clock = new VirtualClock()
  const summary = new VirtualRun(scenario, engine(clock), clock).run() as unknown as ISummary
  if (summary.overCapacity > 0) throw new Error('a host was over its capacity')
  return summary
}

function runOurs (scenario: IScenario): ISummary {
  return runWith(scenario, (clock) => new DecisionEngine(clock, new SeededRandom(1), { kind: scenario.kind }))
}

function of (summary: ISummary, service: string): IServiceSummary {
  const one = summary.services[service]
  if (one === undefined) throw new Error(`no service ${service}`)
  return one
}

/*
 * Twice as many requests as the slots can serve. Lookups would wait behind everything else, and budgets, the last in line, for ever.
 */
test('at twice saturation urgent work waits briefly and patient work gets its floor', (t) => {
  const summary = runOurs(shortened('saturation-2x', 20_000, 5_000))
  t.true(of(summary, 'lookup').waitP99Ms <= 1_100)
  t.is(of(summary, 'lookup').gaveUp, 0)
  t.true(of(summary, 'budget').servedShare >= 0.2)
  t.is(of(summary, 'sweep').gaveUp, 0, 'what is admitted is served')
  t.true(summary.useShare >= 0.95)
})

/*
 * One caller sends nine tenths of all requests, and more than the slots can serve. The others would wait with it.
 */
test('the waits of the others are as if the large caller were not there', (t) => {
  const alone = runOurs(shortened('one-caller-90%-others-alone', 15_000, 0))
  const together = runOurs(shortened('one-caller-90%', 15_000, 0))
  t.true(of(together, 'small').waitP99Ms <= of(alone, 'small').waitP99Ms * 1.2)
  t.true(together.jain >= 0.98)
})

test('a burst of urgent requests is refused where it can not be served in time', (t) => {
  const summary = runOurs(shortened('burst', 30_000, 5_000))
  const { placed, refused, gaveUp } = of(summary, 'rush')
  t.true(refused > 0 && placed > 0)
  t.true(gaveUp < 0.05 * (placed + refused + gaveUp))
  t.is(of(summary, 'budget').starved, 0)
})

/*
 * One host answers ten times slower than the others for half a minute. Requests in turn over all hosts would pile up there.
 */
test('a slow host holds up nobody', (t) => {
  const summary = runOurs(shortened('slow-upstream', 30_000, 10_000))
  t.true(of(summary, 'lookup').waitP99Ms <= 10)
})

/*
 * One host fails whatever it gets within a millisecond, so that it is always free. It would attract and fail a large share of all work.
 */
test('a host that fails everything costs few requests and is back in use after it heals', (t) => {
  const scenario = shortened('fails-at-once', 40_000, 5_000)
  const ours = runOurs(scenario)
  t.true(ours.lostAfterFirstSecondShare <= 0.02)
  t.true(ours.placedAfterHeal > 0)
  t.true(runWith(scenario, (clock) => new NaiveEngine(clock)).lostAfterFirstSecondShare > 0.1, 'the scenario does show the harm')
})

test('short requests among long ones are served, and nobody starves', (t) => {
  const summary = runOurs(shortened('short-and-long', 20_000, 5_000))
  t.true(of(summary, 'lookup').waitP99Ms <= 1_100)
  t.true(of(summary, 'budget').servedShare >= 0.2)
})

/*
 * A failure domain goes, and with it half of the hosts. What ran there is lost, and demand is far above what is left.
 */
test('with half the hosts gone urgent work still waits briefly', (t) => {
  const summary = runOurs(shortened('half-the-hosts-gone', 35_000, 5_000))
  t.true(of(summary, 'lookup').waitP99Ms <= 1_100)
})

test('who comes back when told to is served', (t) => {
  const summary = runOurs({ ...shortened('refusal', 15_000, 1_000), untilMs: 50_000 })
  t.true(summary.refusedMetShare >= 0.9)
})

test('mixed sizes fill the hosts, and jobs among small tasks start in a few seconds', (t) => {
  t.true(runOurs(shortened('mixed-sizes', 150_000, 60_000)).useShare >= 0.95)
  const jobs = of(runOurs(shortened('jobs-among-small-tasks', 100_000, 20_000)), 'whole')
  t.true(jobs.placed > 0)
  t.true(jobs.waitWorstMs <= 10_000)
})

test('what can never run is refused at once and holds up nobody', (t) => {
  const summary = runOurs(shortened('can-never-run', 60_000, 20_000))
  t.is(of(summary, 'never').placed, 0)
  t.true(of(summary, 'never').refused > 0)
  t.is(of(summary, 'mixed').refused, 0)
})

test('urgent tasks among long preemptible ones wait briefly', (t) => {
  const summary = runOurs(shortened('urgent-among-long', 120_000, 60_000))
  t.true(of(summary, 'stops').waitP99Ms <= 1_100)
})

/*
 * Tasks use up to ten times what they declare. By the declared sizes hosts are filled far beyond what they have.
 */
test('learnt sizes keep hosts closer to their capacity than declared ones do', (t) => {
  const scenario = shortened('sizes-off-by-10', 120_000, 60_000)
  const over = (summary: ISummary): number => (summary as unknown as { readonly overUsedShare: number }).overUsedShare
  t.true(over(runOurs(scenario)) < over(runWith(scenario, (clock) => new NaiveEngine(clock))))
})
