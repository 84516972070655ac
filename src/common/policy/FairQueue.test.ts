import test from 'ava'
import fc from 'fast-check'

import { FairQueue } from './FairQueue.js'
import { cores, profile, work } from '../../../test/policy/TestWork.js'
import { UsageTracker } from './UsageTracker.js'

import type { IProfile } from '../config/Types.js'
import type { IQueueEntry } from './QueueTypes.js'

const CAPACITY = cores(100)

function queueWith (): { queue: FairQueue, use: UsageTracker } {
  const use = new UsageTracker('resources')
  return { queue: new FairQueue(use, CAPACITY, () => false), use }
}

interface IAddOptions {
  readonly id: string
  readonly caller?: string
  readonly profile?: IProfile
  readonly costMs?: number
  readonly deadlineAtMs?: number
}

function add (queue: FairQueue, { id, caller = 'caller', profile: of = profile(), costMs = 1, deadlineAtMs = Infinity }: IAddOptions): IQueueEntry {
  const item = work(id, { caller, profile: of, deadlineAtMs })
  return queue.add({ item, need: item.resources, lane: { shape: 'one', team: 'team' }, costMs, latestStartAtMs: deadlineAtMs })
}

function startNext (queue: FairQueue, use?: UsageTracker): IQueueEntry | undefined {
  const entry = queue.peek(() => false)
  if (entry === undefined) return undefined
  queue.remove(entry.item.id)
  queue.charge(entry, entry.item.caller)
  use?.add(entry.item, entry.need)
  return entry
}

test('callers share capacity by cost, not by the number of requests', (t) => {
  const { queue } = queueWith()
  for (let i = 0; i < 60; i++) {
    add(queue, { id: `small-${i}`, caller: 'small', costMs: 1 })
    add(queue, { id: `large-${i}`, caller: 'large', costMs: 5 })
  }
  const callers = Array.from({ length: 36 }, () => startNext(queue)?.item.caller)
  t.is(callers.filter((caller) => caller === 'small').length, 30)
})

test('a caller that declares too little is charged the actual cost once it is known', (t) => {
  const { queue } = queueWith()
  for (let i = 0; i < 4; i++) for (const caller of ['honest', 'liar']) add(queue, { id: `${caller}-${i}`, caller })
  const first = [startNext(queue), startNext(queue)]
  for (const entry of first) if (entry !== undefined) queue.settle(entry.queue, entry.item.caller, 1, entry.item.caller === 'liar' ? 10 : 1)
  t.deepEqual(Array.from({ length: 3 }, () => startNext(queue)?.item.caller), ['honest', 'honest', 'honest'])
})

test('urgent work goes first, by deadline, except that profiles below their floor go before it', (t) => {
  const { queue, use } = queueWith()
  const urgent = profile({ priorityClass: 'urgent' })
  const patient = profile({ priorityClass: 'patient', floorShare: 0.05 })
  for (let i = 0; i < 20; i++) {
    add(queue, { id: `urgent-${i}`, profile: urgent, deadlineAtMs: 1_000 - i })
    add(queue, { id: `patient-${i}`, profile: patient })
  }
  const order = Array.from({ length: 12 }, () => startNext(queue, use)?.item.id ?? '')
  t.is(order.filter((id) => id.startsWith('patient')).length, 6, 'up to just above five of a hundred cores')
  t.deepEqual(order.filter((id) => id.startsWith('urgent')), ['urgent-19', 'urgent-18', 'urgent-17', 'urgent-16', 'urgent-15', 'urgent-14'])
})

/*
 * Each request comes from a caller that never returns. If all of them were remembered, memory would grow until the
 * process is killed.
 */
test('callers that send only one request are forgotten', (t) => {
  const { queue } = queueWith()
  for (let i = 0; i < 20_000; i++) {
    add(queue, { id: `r${i}`, caller: `caller-${i}` })
    const entry = startNext(queue)
    if (entry !== undefined) queue.settle(entry.queue, entry.item.caller, 1, 1)
  }
  t.true((queue.profile('normal')?.knownCallers ?? Infinity) <= 2_000)
})

/** The reference: finds the order of callers by scanning all entries each time. */
class NaiveFairQueue {
  private readonly _entries: { readonly id: string, readonly caller: string, readonly sequence: number }[] = []
  private readonly _served = new Map<string, number>()
  private _virtualCost = 0

  public add (id: string, caller: string, sequence: number): void {
    if (!this._entries.some((entry) => entry.caller === caller)) this._served.set(caller, Math.max(this._servedOf(caller), this._virtualCost))
    this._entries.push({ id, caller, sequence })
  }

  public remove (id: string): void {
    const index = this._entries.findIndex((entry) => entry.id === id)
    if (index >= 0) this._entries.splice(index, 1)
  }

  public leastServed (): number {
    return Math.min(...this._entries.map(({ caller }) => this._servedOf(caller)))
  }

  public servedOf (caller: string): number {
    return this._servedOf(caller)
  }

  public firstIdOf (caller: string): string | undefined {
    return this._entries.find((entry) => entry.caller === caller)?.id
  }

  public charge (caller: string, cost: number): void {
    this._virtualCost = Math.max(this._virtualCost, this._servedOf(caller))
    this._served.set(caller, this._servedOf(caller) + cost)
  }

  private _servedOf (caller: string): number {
    return this._served.get(caller) ?? this._virtualCost
  }
}

const command = fc.oneof(
  fc.record({ type: fc.constant('add' as const), caller: fc.constantFrom('a', 'b', 'c', 'd'), cost: fc.integer({ min: 1, max: 9 }) }),
  fc.record({ type: fc.constant('cancel' as const), index: fc.nat(50) }),
  fc.record({ type: fc.constant('take' as const) })
)

test('long command sequences give the same order as the naive queue', (t) => {
  fc.assert(fc.property(fc.array(command, { minLength: 50, maxLength: 400 }), (commands) => {
    const { queue } = queueWith()
    const naive = new NaiveFairQueue()
    const waiting: string[] = []
    for (const [i, step] of commands.entries()) {
      if (step.type === 'add') {
        add(queue, { id: `i${i}`, caller: step.caller, costMs: step.cost })
        naive.add(`i${i}`, step.caller, i)
        waiting.push(`i${i}`)
      } else if (step.type === 'cancel') {
        const [id] = waiting.splice(step.index % Math.max(1, waiting.length), 1)
        if (id === undefined) continue
        queue.remove(id)
        naive.remove(id)
      } else {
        const least = naive.leastServed()
        const entry = startNext(queue)
        if (entry === undefined) {
          if (waiting.length > 0) return false
          continue
        }
        const { id, caller } = entry.item
        if (naive.servedOf(caller) !== least || naive.firstIdOf(caller) !== id) return false
        naive.charge(caller, entry.costMs)
        naive.remove(id)
        waiting.splice(waiting.indexOf(id), 1)
      }
    }
    return queue.size === waiting.length
  }), { seed: 1, numRuns: 200 })
  t.pass()
})
