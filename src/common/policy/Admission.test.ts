import test from 'ava'

import { takeDecisions, createEngine, host, profile, work } from '../../../test/policy/TestWork.js'

import type { AdmitDecision, IWorkItem } from './Types.js'

const SERVICE_MS = 100

/** A host of one slot that always has work, so that the drain rate is ten requests a second. */
function busyEngine (): { admit: (id: string, caller?: string) => AdmitDecision, advance: (ms: number) => void, givenUp: string[] } {
  const { clock, engine } = createEngine('slots', host('h1', { cores: 1, memoryBytes: 0, accelerators: 0 }))
  const givenUp: string[] = []
  let running: IWorkItem | undefined
  let endsAtMs = 0
  const applyDecisions = (): void => {
    for (const decision of takeDecisions(engine)) {
      if (decision.type === 'giveUp') givenUp.push(decision.item.id)
      if (decision.type !== 'place') continue
      running = decision.item
      endsAtMs = clock.nowMs() + SERVICE_MS
    }
  }
  const admit = (id: string, caller = 'caller'): AdmitDecision => {
    const arrivedAtMs = clock.nowMs()
    const decision = engine.admit(work(id, { caller, profile: profile({ deadlineMs: 2_000 }), arrivedAtMs, deadlineAtMs: arrivedAtMs + 2_000 }))
    applyDecisions()
    return decision
  }
  const advance = (ms: number): void => {
    for (let i = 0; i < ms; i += 10) {
      clock.advance(10)
      if (running !== undefined && clock.nowMs() >= endsAtMs) {
        const { id } = running
        running = undefined
        engine.recordEnd(id, 'succeeded', SERVICE_MS)
      }
      applyDecisions()
    }
  }
  return { admit, advance, givenUp }
}

/*
 * Requests arrive at several times the rate at which the host serves them. If all were queued, callers would wait until
 * their deadlines without an answer; instead the surplus is refused at once and the admitted requests are served in
 * time.
 */
test('surplus requests are refused at once and admitted requests are served in time', (t) => {
  const { admit, advance, givenUp } = busyEngine()
  let refused = 0
  for (let i = 0; i < 200; i++) {
    if (!admit(`r${i}`).admitted) refused += 1
    advance(30)
  }
  t.true(refused > 100 && refused < 150, `${refused} of 200 refused`)
  t.deepEqual(givenUp, [])
})

/*
 * As above, but each request comes from another caller. No caller has a backlog of its own, yet together they exceed
 * the capacity.
 */
test('surplus requests are also refused when each comes from another caller', (t) => {
  const { admit, advance, givenUp } = busyEngine()
  let refused = 0
  for (let i = 0; i < 200; i++) {
    if (!admit(`r${i}`, `caller-${i}`).admitted) refused += 1
    advance(30)
  }
  t.true(refused > 100 && refused < 150, `${refused} of 200 refused`)
  t.deepEqual(givenUp, [])
})

/*
 * A refused caller returns at its retry time while new callers keep arriving. If the capacity went to the new callers,
 * the same caller would be refused on each return.
 */
test('a refused request that returns at its retry time is admitted', (t) => {
  const { admit, advance } = busyEngine()
  const retries: { readonly id: string, readonly atMs: number }[] = []
  let nowMs = 0
  let admitted = 0
  let returned = 0
  for (let i = 0; i < 600; i++) {
    const decision = i < 200 ? admit(`r${i}`) : undefined
    if (decision?.admitted === false) retries.push({ id: `r${i}`, atMs: nowMs + decision.retryAfterMs })
    advance(30)
    nowMs += 30
    for (const { id } of retries.filter(({ atMs }) => atMs > nowMs - 30 && atMs <= nowMs)) {
      returned += 1
      if (admit(`${id}#1`).admitted) admitted += 1
    }
  }
  t.true(returned > 50)
  t.true(admitted / returned >= 0.9, `${admitted} of ${returned} met`)
})

test('retry delays have jitter', (t) => {
  const { admit } = busyEngine()
  const times = new Set<number>()
  for (let i = 0; i < 100; i++) {
    const decision = admit(`r${i}`)
    if (!decision.admitted) times.add(decision.retryAfterMs)
  }
  t.true(times.size > 20)
})

test('work that can never run is refused with a reason', (t) => {
  const { engine } = createEngine('resources', host('h1'))
  engine.putTeam({ name: 'small', maxSlots: 1, maxCores: 2, maxAccelerators: 0 })
  const large = engine.admit(work('large', { resources: { cores: 9, memoryBytes: 0, accelerators: 0 } }))
  t.like(large, { admitted: false, reason: 'infeasible' })
  const overQuota = engine.admit(work('quota', { team: 'small', resources: { cores: 3, memoryBytes: 0, accelerators: 0 } }))
  t.like(overQuota, { admitted: false, reason: 'quota' })
  t.like(createEngine('slots').engine.admit(work('nowhere')), { admitted: false, reason: 'noUpstream' })
})
