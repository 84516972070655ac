/**
 * Measures scheduling decisions and prints one JSON line per scenario and policy. All policies get the same arrivals.
 *
 * `npm run bench -- decisions [--only PART_OF_NAME] [--policy NAME] [--seed NUMBER]`
 */

import { DecisionEngine } from '../src/common/policy/DecisionEngine.js'
import { NaiveEngine } from '../src/common/policy/NaiveEngine.js'
import { SeededRandom } from '../src/common/Random.js'
import { RandomPlacingEngine, StrictPriorityEngine, ThresholdEngine } from './decisions/Baselines.js'
import { measureManyCallers } from './decisions/ManyCallers.js'
import { REQUEST_SCENARIOS } from './decisions/RequestScenarios.js'
import { measureCancelWave, measureSpeed } from './decisions/Speed.js'
import { TASK_SCENARIOS } from './decisions/TaskScenarios.js'
import { VirtualClock, VirtualRun } from './decisions/VirtualRun.js'

import type { IDecisionEngine } from '../src/common/policy/Types.js'
import type { IScenario } from './decisions/Types.js'

type EngineFactory = (clock: VirtualClock, scenario: IScenario) => IDecisionEngine

/** The weight of the threshold policy, which is the longest queue per host that it allows. */
const THRESHOLD_WEIGHT = 16

const POLICIES: Readonly<Record<string, EngineFactory>> = {
  ours: (clock, scenario) => new DecisionEngine(clock, new SeededRandom(scenario.seed), { kind: scenario.kind }),
  'fcfs-first-fit': (clock) => new NaiveEngine(clock),
  'strict-priority': (clock) => new StrictPriorityEngine(clock),
  'random-placing': (clock, scenario) => new RandomPlacingEngine(clock, new SeededRandom(scenario.seed)),
  'threshold-jsq': (clock) => new ThresholdEngine(clock, THRESHOLD_WEIGHT)
}

export async function run (args: readonly string[]): Promise<void> {
  const nameFilter = optionOf(args, '--only') ?? ''
  const policy = optionOf(args, '--policy')
  const seed = Number(optionOf(args, '--seed') ?? 1)
  for (const create of [...REQUEST_SCENARIOS, ...TASK_SCENARIOS]) {
    const scenario = create(seed)
    if (!scenario.name.includes(nameFilter)) continue
    for (const [name, factory] of Object.entries(POLICIES)) {
      if (policy === undefined || policy === name) runScenario(scenario, name, factory)
    }
  }
  if ('cancel-wave-real-time'.includes(nameFilter)) measureCancelWave(seed)
  if ('many-callers'.includes(nameFilter)) measureManyCallers(seed)
  if ('speed'.includes(nameFilter)) measureSpeed(seed)
}

function runScenario (scenario: IScenario, policy: string, factory: EngineFactory): void {
  const clock = new VirtualClock()
  const summary = new VirtualRun(scenario, factory(clock, scenario), clock).run()
  console.log(JSON.stringify({ scenario: scenario.name, policy, ...summary }))
}

function optionOf (args: readonly string[], name: string): string | undefined {
  const index = args.indexOf(name)
  return index < 0 ? undefined : args[index + 1]
}
