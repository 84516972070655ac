/**
 * Small builders of work, hosts and engines for the tests of the policy.
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

export function engineWith (kind: CapacityKind, ...hosts: readonly IEngineHost[]): { clock: ManualClock, engine: DecisionEngine } {
  const clock = new ManualClock()
  const engine = new DecisionEngine(clock, new SeededRandom(1), { kind })
  for (const one of hosts) engine.putHost(one)
  return { clock, engine }
}

export function decisions (engine: IDecisionEngine): readonly EngineDecision[] {
  const all: EngineDecision[] = []
  for (let decision = engine.next(); decision !== undefined; decision = engine.next()) all.push(decision)
  return all
}

/** The ids of what is placed now, each with its host. */
export function placed (engine: IDecisionEngine): Readonly<Record<string, string>> {
  const places: Record<string, string> = {}
  for (const decision of decisions(engine)) {
    if (decision.type === 'place') places[decision.item.id] = decision.hostId
  }
  return places
}
