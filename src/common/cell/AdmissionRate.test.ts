/**
 * An owner that can order a fixed number of starts per second, under a load of twice that and of half of it.
 */

import test from 'ava'
import { ADMISSION_UPDATE_MS, AdmissionRate } from './AdmissionRate.js'

const TICK_MS = 10
const CAPACITY_PER_S = 100
const ORDER_TIMEOUT_MS = 1000
const TASKS_PER_JOB = 4

interface IOutcome {
  readonly startedPerS: number
  readonly refused: number
  /** The longest wait of an order in the second half of the load, in ms. */
  readonly maxWaitMs: number
}

/** Offers jobs at a rate to an owner with one queue of orders, each of which waits for those before it. */
class QueueingOwner {
  private _nowMs = 0
  private _queue: number[] = []
  private _credit = 0
  private _offered = 0
  public readonly admission = new AdmissionRate()

  public run (tasksPerS: number, forMs: number): IOutcome {
    const untilMs = this._nowMs + forMs
    const halfMs = this._nowMs + forMs / 2
    let started = 0
    let refused = 0
    let maxWaitMs = 0
    while (this._nowMs < untilMs) {
      this._nowMs += TICK_MS
      this._offered += tasksPerS * TICK_MS / 1000
      for (; this._offered >= TASKS_PER_JOB; this._offered -= TASKS_PER_JOB) {
        if (this.admission.tryAdmit(TASKS_PER_JOB, true)) this._queue.push(...Array.from({ length: TASKS_PER_JOB }, () => this._nowMs))
        else refused += 1
      }
      this._credit = Math.min(this._credit + CAPACITY_PER_S * TICK_MS / 1000, this._queue.length)
      for (; this._credit >= 1; this._credit -= 1) {
        const waitMs = this._nowMs - (this._queue.shift() ?? this._nowMs)
        this.admission.recordOrder(Math.min(waitMs, ORDER_TIMEOUT_MS), waitMs < ORDER_TIMEOUT_MS)
        if (waitMs < ORDER_TIMEOUT_MS) started += 1
        if (this._nowMs > halfMs) maxWaitMs = Math.max(maxWaitMs, waitMs)
      }
      if (this._nowMs % ADMISSION_UPDATE_MS === 0) this.admission.update(this._nowMs)
    }
    return { startedPerS: started / forMs * 1000, refused, maxWaitMs }
  }
}

test('an owner that is offered twice what it can order goes on at its capacity, and refuses the rest at once', (t) => {
  const owner = new QueueingOwner()
  t.is(owner.run(50, 5000).refused, 0)
  const overload = owner.run(2 * CAPACITY_PER_S, 10_000)
  t.true(overload.startedPerS >= 0.9 * CAPACITY_PER_S, String(overload.startedPerS))
  t.true(overload.refused > 0)
  t.true(overload.maxWaitMs < ORDER_TIMEOUT_MS, String(overload.maxWaitMs))
  t.true(owner.admission.retryAfterMs(true) >= 1000)
})

test('five seconds after the overload, everything is accepted again', (t) => {
  const owner = new QueueingOwner()
  owner.run(2 * CAPACITY_PER_S, 10_000)
  owner.run(CAPACITY_PER_S / 2, 5000)
  const calm = owner.run(CAPACITY_PER_S / 2, 5000)
  t.is(calm.refused, 0)
  t.is(owner.admission.tasksPerS, undefined)
})

test('hosts that answer no orders do not count as overload of the owner', (t) => {
  const admission = new AdmissionRate()
  for (let nowMs = ADMISSION_UPDATE_MS; nowMs < 5000; nowMs += ADMISSION_UPDATE_MS) {
    for (let order = 0; order < 10; order += 1) admission.recordOrder(order % 2 === 0 ? ORDER_TIMEOUT_MS : 50, order % 2 === 1)
    t.false(admission.update(nowMs))
  }
})

test('an owner whose timers are late is overloaded, but not before it has ordered anything', (t) => {
  // A new owner reads all jobs before its first timer. If it took that for overload, it would refuse nearly everything for seconds.
  const admission = new AdmissionRate()
  t.false(admission.update(1000))
  t.false(admission.update(2000))
  t.true(admission.tryAdmit(10, false))
  for (let order = 0; order < 20; order += 1) admission.recordOrder(50, true)
  t.true(admission.update(3000))
  t.false(admission.tryAdmit(10, false))
})

/** Offers tasks at a rate; all that are admitted start, each after `orderMs`. Returns how many were admitted per second. */
function offer (admission: AdmissionRate, fromMs: number, forMs: number, tasksPerS: number, orderMs: number): number {
  let admitted = 0
  for (let nowMs = fromMs; nowMs < fromMs + forMs; nowMs += ADMISSION_UPDATE_MS) {
    for (let job = 0; job < tasksPerS / 1000 * ADMISSION_UPDATE_MS; job += 1) {
      if (!admission.tryAdmit(1, true)) continue
      admitted += 1
      admission.recordOrder(orderMs, true)
    }
    admission.update(nowMs + ADMISSION_UPDATE_MS)
  }
  return admitted / forMs * 1000
}

test('one late timer of an owner that was hardly used does not limit the burst that follows', (t) => {
  // The limit would follow the few tasks that it started before, and callers would be refused while hosts are free.
  const admission = new AdmissionRate()
  offer(admission, 0, 5000, 20, 60)
  admission.update(5800)
  t.is(offer(admission, 5800, 4000, 100, 60), 100)
})

test('orders that stay slow whatever is admitted do not lower the limit further and further', (t) => {
  // Refusing lowers what is started. If that counted as the capacity, the limit would halve every few seconds until hardly anything is accepted.
  const admission = new AdmissionRate()
  offer(admission, 0, 5000, 100, 60)
  offer(admission, 5000, 30_000, 100, 600)
  t.true(offer(admission, 35_000, 5000, 100, 600) >= 45)
})

test('an overloaded owner with many waiting tasks refuses further ones, except urgent ones that would start in time', (t) => {
  // A new owner that accepts jobs beside more waiting tasks than it can order passes on even more of them to the next one.
  const admission = new AdmissionRate()
  offer(admission, 0, 5000, 100, 600)
  t.not(admission.tasksPerS, undefined)
  admission.update(5250, { tasks: 1000, urgentTasks: 0 })
  t.false(admission.tryAdmit(4, false))
  t.true(admission.retryAfterMs(false) > 5000)
  t.true(admission.retryAfterMs(true) < 2500)
  t.true(admission.tryAdmit(4, true))
  admission.update(5500, { tasks: 1000, urgentTasks: 1000 })
  t.false(admission.tryAdmit(4, true))
})

test('a new owner that stays late and orders nothing although tasks wait accepts no more', (t) => {
  // It would accept hundreds of jobs that it can't start, since its limit followed its orders alone.
  const admission = new AdmissionRate()
  const backlog = { tasks: 300, urgentTasks: 100 }
  let nowMs = 0
  for (let update = 0; update < 4; update += 1) admission.update(nowMs += 700, backlog)
  t.true(admission.tryAdmit(4, true))
  for (let update = 0; update < 4; update += 1) admission.update(nowMs += 700, backlog)
  t.false(admission.tryAdmit(4, true))
})
