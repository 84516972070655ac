import test from 'ava'
import fc from 'fast-check'

import { cores, takeDecisions, host, profile, work } from '../../../test/policy/TestWork.js'
import { ManualClock } from '../Clock.js'
import { SeededRandom } from '../Random.js'
import { DecisionEngine } from './DecisionEngine.js'
import { NaiveEngine } from './NaiveEngine.js'

import type { IDecisionEngine } from './Types.js'
import type { CapacityKind } from './UsageTracker.js'

const HOSTS = ['h0', 'h1', 'h2', 'h3']
const HOST_CORES = 8
const PROFILES = [profile({ priorityClass: 'urgent' }), profile(), profile({ priorityClass: 'patient', floorShare: 0.2 })]

const command = fc.oneof(
  { weight: 8, arbitrary: fc.record({ type: fc.constant('admit' as const), size: fc.integer({ min: 1, max: 8 }), of: fc.nat(2), caller: fc.nat(3) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('group' as const), size: fc.integer({ min: 1, max: 8 }), tasks: fc.integer({ min: 2, max: 4 }) }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('finish' as const), index: fc.nat(100) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('cancel' as const), index: fc.nat(100) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('report' as const), index: fc.nat(100), size: fc.integer({ min: 1, max: 12 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('accepting' as const), host: fc.nat(3), accepting: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('lose' as const), host: fc.nat(3) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('advance' as const), ms: fc.integer({ min: 1, max: 3_000 }) }) }
)
type Command = typeof command extends fc.Arbitrary<infer T> ? T : never

/** Drives an engine and tracks which items wait, and what runs where and at which size. */
class EngineDriver {
  public readonly waiting = new Set<string>()
  public readonly running = new Map<string, { readonly hostId: string, size: number, readonly declared: number }>()
  private readonly _sizes = new Map<string, number>()
  private readonly _accepting = new Map(HOSTS.map((hostId) => [hostId, true]))

  public constructor (private readonly _engine: IDecisionEngine, private readonly _clock: ManualClock) {
    for (const hostId of HOSTS) _engine.putHost(host(hostId, cores(HOST_CORES)))
  }

  public apply (step: Command, number: number): void {
    if (step.type === 'admit') this._admit(`i${number}`, step.size, step.of, step.caller)
    else if (step.type === 'group') this._admitGroup(`g${number}`, step.size, step.tasks)
    else if (step.type === 'finish') this._finish(pickFrom([...this.running.keys()], step.index))
    else if (step.type === 'cancel') this._cancel(pickFrom([...this.waiting], step.index))
    else if (step.type === 'report') this._report(pickFrom([...this.running.keys()], step.index), step.size)
    else if (step.type === 'accepting') this._setAccepting(HOSTS[step.host] ?? '', step.accepting)
    else if (step.type === 'lose') this._removeHost(HOSTS[step.host] ?? '')
    else this._clock.advance(step.ms)
    this._applyDecisions()
  }

  /** Ends all running work until nothing waits any more. */
  public drain (): void {
    for (const hostId of HOSTS) this._setAccepting(hostId, true)
    this._applyDecisions()
    for (let round = 0; round < 1_000 && (this.waiting.size > 0 || this.running.size > 0); round++) {
      for (const id of [...this.running.keys()]) this._finish(id)
      this._clock.advance(2_500)
      this._applyDecisions()
    }
  }

  public usedOn (hostId: string): number {
    return [...this.running.values()].filter((place) => place.hostId === hostId).reduce((sum, { size }) => sum + size, 0)
  }

  private _admit (id: string, size: number, of: number, caller: number): void {
    const item = work(id, { resources: cores(size), caller: `c${caller}`, profile: PROFILES[of] ?? profile(), arrivedAtMs: this._clock.nowMs() })
    this._sizes.set(id, size)
    if (this._engine.admit(item).admitted) this.waiting.add(id)
  }

  private _admitGroup (groupId: string, size: number, count: number): void {
    const items = Array.from({ length: count }, (_, i) => work(`${groupId}.${i}`, { resources: cores(size), arrivedAtMs: this._clock.nowMs() }))
    if (!this._engine.admitGroup(groupId, items).admitted) return
    for (const { id } of items) {
      this._sizes.set(id, size)
      this.waiting.add(id)
    }
  }

  /** Tasks of a job start together: once one has been placed, none of the others waits. */
  private _checkGroups (): void {
    for (const id of this.waiting) {
      const [groupId, task] = id.split('.')
      const started = [...this.running.keys()].find((other) => task !== undefined && other.startsWith(`${groupId}.`))
      if (started !== undefined) throw new Error(`${started} runs, but ${id} waits`)
    }
  }

  private _finish (id: string | undefined): void {
    if (id === undefined) return
    this.running.delete(id)
    this._engine.recordEnd(id, 'succeeded', 1_000)
  }

  private _cancel (id: string | undefined): void {
    if (id === undefined) return
    if (this._engine.cancel(id) !== 'queued') throw new Error(`${id} waits, but is not queued in the engine`)
    this.waiting.delete(id)
  }

  private _report (id: string | undefined, size: number): void {
    const place = id === undefined ? undefined : this.running.get(id)
    if (id === undefined || place === undefined) return
    place.size = Math.max(place.declared, size)
    this._engine.reportUsage(id, cores(size))
  }

  private _setAccepting (hostId: string, accepting: boolean): void {
    this._accepting.set(hostId, accepting)
    this._engine.putHost(host(hostId, cores(HOST_CORES), { accepting }))
  }

  private _removeHost (hostId: string): void {
    const lost = [...this.running].filter(([, place]) => place.hostId === hostId).map(([id]) => id)
    if ([...this._engine.removeHost(hostId)].sort().join() !== lost.sort().join()) throw new Error('removeHost returned the wrong items')
    for (const id of lost) this.running.delete(id)
    this._setAccepting(hostId, true)
  }

  private _applyDecisions (): void {
    for (const decision of takeDecisions(this._engine)) {
      if (decision.type !== 'place') throw new Error(`unexpected ${decision.type}`)
      const { item, hostId } = decision
      const size = this._sizes.get(item.id) ?? 0
      if (!this.waiting.delete(item.id)) throw new Error(`${item.id} placed, but it doesn't wait`)
      if (this._accepting.get(hostId) !== true) throw new Error(`${item.id} placed on a leaving host`)
      if (this.usedOn(hostId) + size > HOST_CORES) throw new Error(`${hostId} exceeds its capacity`)
      this.running.set(item.id, { hostId, size, declared: size })
    }
    this._checkGroups()
    const load = this._engine.load()
    const used = HOSTS.reduce((sum, hostId) => sum + this.usedOn(hostId), 0)
    if (load.running !== this.running.size || load.queued !== this.waiting.size) throw new Error('miscounted')
    if (used > load.used.cores + 1e-6) throw new Error(`${load.used.cores} cores counted, ${used} in use`)
  }
}

function pickFrom<T> (all: readonly T[], index: number): T | undefined {
  return all.length === 0 ? undefined : all[index % all.length]
}

function driversFor (kind: CapacityKind): { readonly ours: EngineDriver, readonly naive: EngineDriver } {
  const clocks = [new ManualClock(), new ManualClock()] as const
  const ours = new EngineDriver(new DecisionEngine(clocks[0], new SeededRandom(1), { kind }), clocks[0])
  return { ours, naive: new EngineDriver(new NaiveEngine(clocks[1]), clocks[1]) }
}

test('long command sequences never exceed the capacity of a host, lose an item or run one twice', (t) => {
  fc.assert(fc.property(fc.array(command, { minLength: 50, maxLength: 500 }), (commands) => {
    const { ours } = driversFor('resources')
    for (const [i, step] of commands.entries()) ours.apply(step, i)
    ours.drain()
    return ours.waiting.size === 0 && ours.running.size === 0
  }), { seed: 1, numRuns: 150 })
  t.pass()
})

test('with equal sizes, as many items run at each step as in the naive engine', (t) => {
  fc.assert(fc.property(fc.array(command, { minLength: 50, maxLength: 500 }), (commands) => {
    const { ours, naive } = driversFor('slots')
    for (const [i, command] of commands.entries()) {
      if (command.type === 'report' || command.type === 'lose' || command.type === 'accepting' || command.type === 'group') continue
      const step = command.type === 'admit' ? { ...command, size: 1 } : command
      ours.apply(step, i)
      naive.apply(step, i)
      if (ours.running.size !== naive.running.size || ours.waiting.size !== naive.waiting.size) return false
    }
    return true
  }), { seed: 1, numRuns: 150 })
  t.pass()
})
