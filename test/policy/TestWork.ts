/**
 * Builders of work items, hosts and decision engines for the tests of the policy.
 */

import { ManualClock } from '../../src/common/Clock.js'
import { SeededRandom } from '../../src/common/Random.js'
import { DecisionEngine } from '../../src/common/policy/DecisionEngine.js'

import type { IResources } from '../../src/common/Types.js'
import type { IProfile } from '../../src/common/config/Types.js'
import type { EngineDecision, IDecisionEngine, IEngineHost, IWorkItem } from '../../src/common/policy/Types.js'
import type { CapacityKind } from '../../src/common/policy/UsageTracker.js'

export function profile (changes: Partial<IProfile> = {}): IProfile {
  return {
    name: changes.priorityClass ?? 'normal',
    priorityClass: 'normal',
    deadlineMs: 10_000,
    floorShare: 0,
    weight: 1,
    maxRunning: 1_000,
    allAtOnce: false,
    spread: 'none',
    crossRegion: 'never',
    crossRegionGainMs: 0,
    maxRetries: 2,
    preemptible: false,
    idempotentDefault: true,
    ...changes
  }
}

export function cores (count: number): IResources {
  return { cores: count, memoryBytes: 0, accelerators: 0 }
}

export function work (id: string, changes: Partial<IWorkItem> = {}): IWorkItem {
  return {
    id,
    caller: 'caller',
    service: 'service',
    team: 'team',
    profile: profile(),
    resources: cores(1),
    arrivedAtMs: 0,
    deadlineAtMs: Infinity,
    idempotent: true,
    ...changes
  }
}

export function host (hostId: string, capacity: IResources = cores(8), changes: Partial<IEngineHost> = {}): IEngineHost {
  return { hostId, shardId: 'shard', region: 'lakes-west', failureDomain: 'a', capacity, accepting: true, ...changes }
}

export function createEngine (kind: CapacityKind, ...hosts: readonly IEngineHost[]): { clock: ManualClock, engine: DecisionEngine } {
  const clock = new ManualClock()
  const engine = new DecisionEngine(clock, new SeededRandom(1), { kind })
  for (const engineHost of hosts) engine.putHost(engineHost)
  return { clock, engine }
}

/** Takes decisions from the engine until it has no more, and returns them. */
export function takeDecisions (engine: IDecisionEngine): readonly EngineDecision[] {
  const taken: EngineDecision[] = []
  for (let decision = engine.next(); decision !== undefined; decision = engine.next()) taken.push(decision)
  return taken
}

/** Takes all decisions from the engine; returns the host of each item that was placed, by item id. */
export function takePlacements (engine: IDecisionEngine): Readonly<Record<string, string>> {
  const hostByItem: Record<string, string> = {}
  for (const decision of takeDecisions(engine)) {
    if (decision.type === 'place') hostByItem[decision.item.id] = decision.hostId
  }
  return hostByItem
}
