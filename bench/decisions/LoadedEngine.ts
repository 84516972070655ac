/**
 * A decision engine that is filled with running work and kept full: whenever an item ends, another one arrives.
 */

import { DecisionEngine } from '../../src/common/policy/DecisionEngine.js'
import { GIB, profileOf } from './Arrivals.js'
import { VirtualClock } from './VirtualRun.js'

import type { IRandom } from '../../src/common/Types.js'
import type { IEngineHost, IWorkItem } from '../../src/common/policy/Types.js'

const STEP_MS = 0.1
const RUN_MS = 20_000

/** Creates the item with this number. Large items are for the queue. */
export type ItemFactory = (number: number, isLarge: boolean, nowMs: number) => IWorkItem

const PROFILES = [
  profileOf({ name: 'urgent', priorityClass: 'urgent' }),
  profileOf({ name: 'normal' }),
  profileOf({ name: 'patient', priorityClass: 'patient', floorShare: 0.1 })
]

/** Creates a task of `cores` cores and as many GiB. Its number determines its profile, caller, service and one of `teams` teams. */
export function taskItem (number: number, cores: number, teams: number, nowMs: number): IWorkItem {
  return {
    id: `item-${number}`,
    caller: `caller-${number % 100}`,
    service: `service-${number % 1_000}`,
    team: `team-${number % teams}`,
    profile: PROFILES[number % PROFILES.length] ?? profileOf({}),
    resources: { cores, memoryBytes: cores * GIB, accelerators: 0 },
    arrivedAtMs: nowMs,
    deadlineAtMs: Infinity,
    declaredRunMs: RUN_MS,
    idempotent: true
  }
}

export class LoadedEngine {
  private readonly _clock = new VirtualClock()
  private readonly _engine: DecisionEngine
  private readonly _running: string[] = []
  private _itemCount = 0

  public constructor (private readonly _random: IRandom, private readonly _createItem: ItemFactory) {
    this._engine = new DecisionEngine(this._clock, _random, { kind: 'resources' })
  }

  public addHosts (hosts: readonly IEngineHost[]): void {
    for (const host of hosts) this._engine.putHost(host)
  }

  /** Places small items until `running` items run or no more fit. */
  public fillHosts (running: number): void {
    while (this._running.length < running) {
      this._admitItem(false)
      if (this._applyDecisions() === 0) return
    }
  }

  /** Adds `count` large items, which stay in the queue once the hosts are full. */
  public addQueued (count: number): void {
    for (let added = 0; added < count; added++) {
      this._admitItem(true)
      this._applyDecisions()
    }
  }

  /** Ends one item, admits another one, applies all resulting decisions and returns the number of placements. */
  public runRound (isLarge: boolean): number {
    this._clock.atMs += STEP_MS
    const index = Math.floor(this._random.next() * this._running.length)
    const ended = this._running[index]
    const last = this._running.pop()
    if (ended === undefined || last === undefined) return 0
    if (ended !== last) this._running[index] = last
    this._engine.recordEnd(ended, 'succeeded', RUN_MS)
    this._admitItem(isLarge)
    return this._applyDecisions()
  }

  private _admitItem (isLarge: boolean): void {
    this._itemCount += 1
    this._engine.admit(this._createItem(this._itemCount, isLarge, this._clock.atMs))
  }

  private _applyDecisions (): number {
    let placed = 0
    for (let decision = this._engine.next(); decision !== undefined; decision = this._engine.next()) {
      if (decision.type !== 'place') continue
      this._running.push(decision.item.id)
      placed += 1
    }
    return placed
  }
}
