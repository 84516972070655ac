import test from 'ava'

import { cores, takeDecisions, createEngine, host, takePlacements, profile, work } from '../../../test/policy/TestWork.js'

import type { DecisionEngine } from './DecisionEngine.js'
import type { IWorkItem } from './Types.js'

const URGENT = profile({ priorityClass: 'urgent' })
const PATIENT = profile({ priorityClass: 'patient', preemptible: true })

function admitAll (engine: DecisionEngine, ...items: readonly IWorkItem[]): void {
  for (const item of items) engine.admit(item)
}

function workItems (count: number, prefix: string, changes: Partial<IWorkItem> = {}): readonly IWorkItem[] {
  return Array.from({ length: count }, (_, i) => work(`${prefix}${i}`, changes))
}

test('requests go to the host with the fewest in flight, tasks to the tightest fit', (t) => {
  const slots = createEngine('slots', host('h1', cores(2)), host('h2', cores(4)))
  admitAll(slots.engine, ...workItems(3, 's'))
  t.deepEqual(takePlacements(slots.engine), { s0: 'h2', s1: 'h2', s2: 'h1' })
  const tasks = createEngine('resources', host('h1', cores(2)), host('h2', cores(4)))
  admitAll(tasks.engine, ...workItems(3, 's'))
  t.deepEqual(Object.values(takePlacements(tasks.engine)).sort(), ['h1', 'h1', 'h2'])
})

test('plain work leaves the capacity reserved for free accelerators to accelerator work', (t) => {
  const { engine } = createEngine('resources', host('gpu', { cores: 8, memoryBytes: 8, accelerators: 2 }), host('plain', { cores: 2, memoryBytes: 8, accelerators: 0 }))
  const accelerated = { resources: { cores: 1, memoryBytes: 1, accelerators: 1 } }
  engine.admit(work('a0', accelerated))
  t.deepEqual(takePlacements(engine), { a0: 'gpu' })
  admitAll(engine, ...workItems(8, 'p'))
  t.deepEqual(takePlacements(engine), { p0: 'plain', p1: 'plain', p2: 'gpu', p3: 'gpu', p4: 'gpu' }, 'the free accelerator reserves half of its host')
  engine.admit(work('a1', accelerated))
  t.deepEqual(takePlacements(engine), { a1: 'gpu', p5: 'gpu', p6: 'gpu', p7: 'gpu' }, 'with all accelerators in use, their host is open to all work')
})

test('in a cell whose hosts all have accelerators, plain work waits only while accelerator work comes', (t) => {
  // Every host has accelerators that nothing uses. If their cores were kept for accelerator work for ever, plain tasks
  // would stay in the queue beside idle hosts, and an accepted job would never start.
  const { clock, engine } = createEngine('resources', host('gpu', { cores: 8, memoryBytes: 8, accelerators: 1 }))
  engine.admit(work('first'))
  t.deepEqual(takePlacements(engine), { first: 'gpu' })
  engine.admit(work('accelerated', { resources: { cores: 1, memoryBytes: 1, accelerators: 1 } }))
  t.deepEqual(takePlacements(engine), { accelerated: 'gpu' })
  engine.recordEnd('accelerated', 'succeeded', 10)
  engine.admit(work('second'))
  t.deepEqual(takePlacements(engine), {})
  clock.advance(engine.nextWakeAtMs() - clock.nowMs())
  t.deepEqual(takePlacements(engine), { second: 'gpu' })
})

test('a service to be spread runs in each failure domain', (t) => {
  const domains = ['a', 'b', 'c'].map((failureDomain) => host(failureDomain, cores(8), { failureDomain }))
  const { engine } = createEngine('resources', ...domains)
  admitAll(engine, ...workItems(3, 's', { profile: profile({ spread: 'failureDomain' }) }))
  t.deepEqual(Object.values(takePlacements(engine)).sort(), ['a', 'b', 'c'])
})

test('the tasks of a job to be spread run in each failure domain', (t) => {
  const domains = ['a', 'b', 'c'].map((failureDomain) => host(failureDomain, cores(8), { failureDomain }))
  const { engine } = createEngine('resources', ...domains)
  engine.admitGroup('job', workItems(3, 'j', { profile: profile({ spread: 'failureDomain' }) }))
  t.deepEqual(Object.values(takePlacements(engine)).sort(), ['a', 'b', 'c'])
})

/*
 * A gateway repeats a request because the answer to the first copy was lost. If it were queued twice, it would run
 * twice.
 */
test('an id that is queued or running is refused as a duplicate', (t) => {
  const { engine } = createEngine('slots', host('h1', cores(1)))
  admitAll(engine, work('runs'), work('waits'))
  takePlacements(engine)
  t.like(engine.admit(work('runs')), { admitted: false, reason: 'duplicate' })
  t.like(engine.admit(work('waits')), { admitted: false, reason: 'duplicate' })
  engine.recordEnd('runs', 'succeeded', 1)
  t.deepEqual(takePlacements(engine), { waits: 'h1' })
})

test('team quotas and the running limit of a profile are enforced', (t) => {
  const { engine } = createEngine('resources', host('h1', cores(64)))
  engine.putTeam({ name: 'team', maxSlots: 100, maxCores: 3, maxAccelerators: 0 })
  admitAll(engine, ...workItems(5, 'q'), ...workItems(5, 'l', { team: 'other', profile: profile({ name: 'limited', maxRunning: 2 }) }))
  const running = Object.keys(takePlacements(engine))
  t.is(running.filter((id) => id.startsWith('q')).length, 3)
  t.is(running.filter((id) => id.startsWith('l')).length, 2)
  engine.recordEnd('q0', 'succeeded', 10)
  t.is(Object.keys(takePlacements(engine)).length, 1)
})

test('a host that is leaving keeps its running work and gets no new work', (t) => {
  const { engine } = createEngine('slots', host('h1', cores(2)))
  admitAll(engine, ...workItems(3, 's'))
  t.is(Object.keys(takePlacements(engine)).length, 2)
  engine.putHost(host('h1', cores(2), { accepting: false }))
  engine.recordEnd('s0', 'succeeded', 10)
  t.deepEqual(takePlacements(engine), {})
  t.is(engine.load().running, 1)
})

/*
 * A task declares one core and uses six. If hosts were filled by declared sizes, its host would run out of cores and
 * the other tasks there would slow down.
 */
test('the larger of declared and reported usage is counted', (t) => {
  const { engine } = createEngine('resources', host('h1', cores(8)))
  admitAll(engine, work('liar'))
  takePlacements(engine)
  engine.reportUsage('liar', cores(6))
  admitAll(engine, ...workItems(4, 's'))
  t.is(Object.keys(takePlacements(engine)).length, 2)
  engine.reportUsage('liar', cores(0.1))
  t.is(engine.load().used.cores, 3, 'a report below the declared size frees only the usage above it')
})

test('a request that can no longer end in time is given up at the announced wake time', (t) => {
  const { clock, engine } = createEngine('slots', host('h1', cores(1)))
  admitAll(engine, work('first'), work('late', { deadlineAtMs: 1_000 }))
  takePlacements(engine)
  clock.advance(engine.nextWakeAtMs())
  t.like(takeDecisions(engine)[0], { type: 'giveUp', reason: 'deadline' })
  t.true(clock.nowMs() <= 1_000)
})

/*
 * All slots are used by patient work that runs for minutes when an urgent request arrives. Without preemption no slot
 * would become free before the urgent deadline.
 */
test('urgent work preempts patient work down to its floor', (t) => {
  const { clock, engine } = createEngine('slots', host('h1', cores(4)))
  const patient = { ...PATIENT, floorShare: 0.5 }
  admitAll(engine, ...workItems(4, 'p', { profile: patient, declaredRunMs: 600_000 }))
  takePlacements(engine)
  admitAll(engine, ...workItems(4, 'u', { profile: URGENT, deadlineAtMs: 60_000 }))
  t.deepEqual(takeDecisions(engine), [])
  clock.advance(engine.nextWakeAtMs())
  const stopped = takeDecisions(engine).flatMap((decision) => decision.type === 'preempt' ? [decision.itemId] : [])
  t.is(stopped.length, 2)
  for (const id of stopped) engine.recordEnd(id, 'stopped', 100)
  t.deepEqual(Object.keys(takePlacements(engine)).sort(), ['u0', 'u1'])
  clock.advance(1_000)
  t.deepEqual(takeDecisions(engine), [], 'no work of a profile at its floor is stopped')
})

/*
 * A host answers each request with an error within a millisecond, so it is always the freest one. Without probation it
 * would attract far more than a tenth of the requests, and callers would see that many errors.
 */
test('a host that fails everything gets only probes until it has healed', (t) => {
  const hosts = Array.from({ length: 10 }, (_, i) => host(`h${i}`, cores(4)))
  const { clock, engine } = createEngine('slots', ...hosts)
  let isBroken = true
  let lost = 0
  let placedOnBroken = 0
  for (let i = 0; i < 4_000; i++) {
    engine.admit(work(`r${i}`, { arrivedAtMs: clock.nowMs() }))
    for (const [id, hostId] of Object.entries(takePlacements(engine))) {
      const fails = hostId === 'h0' && isBroken
      if (fails) lost += 1
      if (hostId === 'h0') placedOnBroken += 1
      engine.recordEnd(id, fails ? 'failed' : 'succeeded', 1)
    }
    clock.advance(5)
    if (i === 2_000) {
      isBroken = false
      placedOnBroken = 0
    }
  }
  t.true(lost > 0 && lost <= 20, `${lost} lost`)
  t.true(placedOnBroken > 20, `${placedOnBroken} placed after the host had healed`)
})

test('a service that fails on all hosts puts no host on probation', (t) => {
  const { clock, engine } = createEngine('slots', ...Array.from({ length: 10 }, (_, i) => host(`h${i}`, cores(4))))
  for (let i = 0; i < 500; i++) {
    engine.admit(work(`r${i}`))
    for (const id of Object.keys(takePlacements(engine))) engine.recordEnd(id, 'failed', 1)
    clock.advance(5)
  }
  t.deepEqual(engine.dump()['onProbation'], [])
})

test('work found at a takeover is counted even beyond the capacity', (t) => {
  const { engine } = createEngine('slots', host('h1', cores(1)))
  for (const item of workItems(2, 's')) engine.adopt(item, 'h1')
  engine.admit(work('new'))
  engine.recordEnd('s0', 'succeeded', 1)
  t.deepEqual(takePlacements(engine), {})
  engine.recordEnd('s1', 'succeeded', 1)
  t.deepEqual(takePlacements(engine), { new: 'h1' })
})

/*
 * The first attempt of a task failed on its host. If the task were placed there again, one bad host would use up all
 * its retries; but if no other host is left, waiting for one would never end.
 */
test('a retry avoids the host of the failed attempt while there is another host', (t) => {
  const { engine } = createEngine('slots', host('h1', cores(4)), host('h2', cores(1)))
  admitAll(engine, work('a', { avoidHostIds: ['h1'] }), work('b', { avoidHostIds: ['h1'] }))
  t.deepEqual(takePlacements(engine), { a: 'h2' })
  engine.removeHost('h2')
  t.deepEqual(takePlacements(engine), { b: 'h1' })
})

test('work that only removed hosts could hold is given up at once', (t) => {
  // A shard changes its owner while work waits for its hosts. Left in the queue, a job that the remaining hosts can't
  // hold would stay "accepted" for ever, though the new owner of the shard could start it.
  const { engine } = createEngine('resources', host('h1', cores(8)), host('h2', cores(8)), host('small', cores(2)))
  engine.adopt(work('r1', { resources: cores(8) }), 'h1')
  engine.adopt(work('r2', { resources: cores(8) }), 'h2')
  admitAll(engine, work('large', { resources: cores(6) }))
  engine.admitGroup('job', workItems(2, 'job', { resources: cores(7) }))
  t.deepEqual(takePlacements(engine), {})
  engine.putHost(host('h1', cores(8), { accepting: false }))
  t.deepEqual(takeDecisions(engine), [], 'a host that does not accept work now may accept it again at any time')
  engine.removeHost('h1')
  t.deepEqual(takeDecisions(engine).map((each) => each.type === 'giveUp' && [each.item.id, each.reason]), [['job0', 'infeasible'], ['job1', 'infeasible']])
  engine.removeHost('h2')
  t.deepEqual(takeDecisions(engine).map((each) => each.type === 'giveUp' && [each.item.id, each.reason]), [['large', 'infeasible']])
  t.like(engine.admitGroup('job', workItems(2, 'job', { resources: cores(2) })), { admitted: false, reason: 'infeasible' })
})
