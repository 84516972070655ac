/**
 * A decision engine that is filled with running work and kept full: one item ends, another one comes.
 */

import { DecisionEngine } from '../../src/common/policy/DecisionEngine.js'
import { GIB, profileOf } from './Arrivals.js'
import { VirtualClock } from './VirtualRun.js'

import type { IRandom } from '../../src/common/Types.js'
import type { IEngineHost, IWorkItem } from '../../src/common/policy/Types.js'

const STEP_MS = 0.1
const RUN_MS = 20_000

/** Makes the item of this number; large ones are for the queue. */
export type ItemMaker = (number: number, isLarge: boolean, nowMs: number) => IWorkItem

const PROFILES = [
  profileOf({ name: 'urgent', priorityClass: 'urgent' }),
  profileOf({ name: 'normal' }),
  profileOf({ name: 'patient', priorityClass: 'patient', floorShare: 0.1 })
]

/** A task of `cores` and as many GiB, spread over profiles, callers, services and `teams` teams by its number. */
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
  private _items = 0

  public constructor (private readonly _random: IRandom, private readonly _make: ItemMaker) {
    this._engine = new DecisionEngine(this._clock, _random, { kind: 'resources' })
  }

  public addHosts (hosts: readonly IEngineHost[]): void {
    for (const host of hosts) this._engine.putHost(host)
  }

  /** Places small items until so many run, or no more fit. */
  public fill (running: number): void {
    while (this._running.length < running) {
      this._admit(false)
      if (this._decide() === 0) return
    }
  }

  /** Adds large items, which stay in the queue once the hosts are full. */
  public queue (count: number): void {
    for (let added = 0; added < count; added++) {
      this._admit(true)
      this._decide()
    }
  }

  /** One item ends, one comes, and all decisions that follow are taken; gives how many were placed. */
  public round (isLarge: boolean): number {
    this._clock.atMs += STEP_MS
    const index = Math.floor(this._random.next() * this._running.length)
    const ended = this._running[index]
    const last = this._running.pop()
    if (ended === undefined || last === undefined) return 0
    if (ended !== last) this._running[index] = last
    this._engine.recordEnd(ended, 'succeeded', RUN_MS)
    this._admit(isLarge)
    return this._decide()
  }

  private _admit (isLarge: boolean): void {
    this._items += 1
    this._engine.admit(this._make(this._items, isLarge, this._clock.atMs))
  }

  private _decide (): number {
    let placed = 0
    for (let decision = this._engine.next(); decision !== undefined; decision = this._engine.next()) {
      if (decision.type !== 'place') continue
      this._running.push(decision.item.id)
      placed += 1
    }
    return placed
  }
}
