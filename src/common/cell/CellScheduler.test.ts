/**
 * The owner's decisions on simulated hosts, without faults and with them.
 */

import test from 'ava'
import { hash32 } from '../membership/Hash.js'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

const ADVICE = { baseMs: 10, perHostMs: 0, validMs: 60_000 }

test('a job of two steps runs them in order and is completed', async (t) => {
  const cell = new SimulatedCell({ hosts: 2 })
  const job = cell.submit([{ count: 4 }, { count: 2, after: [0] }])
  await cell.run(800)
  t.is(job.reportedPhase, 'running')
  t.is(job.steps[1]?.tasks.filter((task) => task.lastRun > 0).length, 0)
  await cell.run(3000)
  t.is(job.reportedPhase, 'completed')
  t.is(cell.hosts.flatMap((host) => host.started).length, 6)
})

test('completion is reported only once it is stored', async (t) => {
  // The store is unreachable while the last task runs. If completion were reported from memory, a caller would get the state
  // "completed", and after a change of owner the state "running" for the same job.
  const cell = new SimulatedCell({ hosts: 1 })
  const job = cell.submit([{}])
  await cell.run(500)
  cell.isStoreDown = true
  await cell.run(2000)
  t.is(job.phase, 'completed')
  t.is(job.reportedPhase, 'running')
  cell.isStoreDown = false
  await cell.run(200)
  t.is(job.reportedPhase, 'completed')
})

test('work behind a gang that can never fit continues', async (t) => {
  // A gang is so wide that the few hosts it may use couldn't hold it if they were empty. Reserving capacity for it would leave
  // those hosts idle for ever, with jobs waiting beside them.
  const cell = new SimulatedCell({ hosts: 4, allows: () => true })
  const advice = { baseMs: 10, perHostMs: 0.1, validMs: 1500 }
  cell.submit([{ count: 5, cpuMillicores: 8000, gang: true }], { advice })
  await cell.run(300)
  const behind = cell.submit([{ count: 2 }], { advice, priority: 2 })
  await cell.run(3000)
  t.is(behind.reportedPhase, 'completed')
})

test('a waiting gang gets its capacity although narrow work keeps arriving', async (t) => {
  // Narrow tasks take each piece of capacity as soon as it becomes free. Without a reservation, the gang would wait until the
  // stream of narrow work ends.
  const cell = new SimulatedCell({ hosts: 2 })
  for (let i = 0; i < 14; i += 1) cell.submit([{ estimateMs: 1000 }], { priority: 2 })
  await cell.run(300)
  const gang = cell.submit([{ count: 2, cpuMillicores: 7000, gang: true }])
  for (let i = 0; i < 30 && !gang.hasStarted; i += 1) {
    cell.submit([{}], { priority: 2 })
    await cell.run(100)
  }
  t.true(gang.hasStarted)
  await cell.run(2000)
  t.is(gang.reportedPhase, 'completed')
})

test('after the owner has died, its successor starts nothing twice and loses nothing', async (t) => {
  // The owner dies while tasks run. Its successor knows only the store and the hosts' reports, and must neither start a task
  // twice nor lose a job.
  const cell = new SimulatedCell({ hosts: 3 })
  const jobs = Array.from({ length: 6 }, () => cell.submit([{ count: 3 }, { count: 1, after: [0] }]))
  await cell.run(700)
  cell.takeOver()
  await cell.run(6000)
  for (const { spec } of jobs) t.is(cell.job(spec.jobId).reportedPhase, 'completed')
  t.is(cell.maxRunsOfOneTask, 1)
  t.is(cell.hosts.flatMap((host) => host.started).length, 24)
})

test('a task that a silent host may run is started elsewhere only after its last lease has ended', async (t) => {
  // A host is cut off but keeps running its tasks. If they were started elsewhere too early, they would run in two places.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => 60_000 } })
  const job = cell.submit([{ count: 2, maxPerHost: 1 }])
  await cell.run(1000)
  cell.host(0).isSilent = true
  await cell.run(5000)
  t.is(cell.host(0).running.size, 1)
  await cell.run(4000)
  t.is(cell.maxRunsOfOneTask, 1)
  t.true(job.steps[0]?.tasks.every((task) => task.attempt?.host.hostId === 'host-1' || task.attempt === undefined))
})

test('an unanswered order that is carried out late neither runs a task twice nor exceeds the capacity of a host', async (t) => {
  // Answers are lost, and the orders are carried out seconds later. A task would run twice, or a host would exceed its capacity.
  const cell = new SimulatedCell({ hosts: 2, host: { cpuMillicores: 2000 } })
  cell.host(0).losesStarts = true
  const jobs = Array.from({ length: 4 }, () => cell.submit([{}], { priority: 0 }))
  await cell.run(2000)
  cell.host(0).executeLateStarts()
  cell.host(0).losesStarts = false
  await cell.run(3000)
  cell.host(0).executeLateStarts()
  await cell.run(4000)
  for (const job of jobs) t.is(job.reportedPhase, 'completed')
  t.is(cell.maxRunsOfOneTask, 1)
  t.true(cell.maxOverCapacity <= 0)
})

test('a late order is not carried out by the next incarnation of its host', async (t) => {
  // A start had no answer, and its host restarts under the same id. The new incarnation knows no fence and no run: unless the run
  // is stopped there first, it would start late, beside the run that replaced it.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => 5000 } })
  cell.host(0).losesStarts = true
  cell.host(1).losesStarts = true
  cell.submit([{ count: 2 }], { advice: ADVICE })
  await cell.run(500)
  cell.host(0).restart()
  cell.host(1).restart()
  cell.host(0).losesStarts = false
  cell.host(1).losesStarts = false
  await cell.run(1500)
  cell.host(0).executeLateStarts()
  cell.host(1).executeLateStarts()
  await cell.run(1000)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a late order without a ticket is carried out by no incarnation of its host beside another run', async (t) => {
  // Nothing in the order names the incarnation that it is meant for, so its task waits until the order can't arrive any more.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => 5000 } })
  for (const host of cell.hosts) host.losesStarts = true
  const job = cell.submit([{ count: 2 }])
  await cell.run(500)
  for (const host of cell.hosts) {
    host.restart()
    host.losesStarts = false
  }
  await cell.run(1500)
  for (const host of cell.hosts) {
    host.restart()
    host.executeLateStarts()
  }
  await cell.run(20_000)
  t.is(cell.maxRunsOfOneTask, 1)
  t.is(job.phase, 'completed')
})

test('a stalled run is stopped and started on another host', async (t) => {
  // A host makes no progress on its tasks but reports good health. The caller would wait for ever.
  const cell = new SimulatedCell({ hosts: 2 })
  cell.host(0).isStuck = true
  const jobs = Array.from({ length: 4 }, () => cell.submit([{ count: 2, maxPerHost: 1 }], { priority: 0 }))
  await cell.run(9000)
  for (const job of jobs) t.is(job.reportedPhase, 'completed')
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a host that fails all it starts does not use up the attempts of many jobs', async (t) => {
  // One host of four ends each task immediately as failed, so it always has room and would attract all work. Jobs would fail
  // although nothing is wrong with them.
  const cell = new SimulatedCell({ hosts: 4 })
  Object.assign(cell.host(0).options, { workMs: () => 50, endOf: () => 'failed' })
  const jobs = []
  for (let i = 0; i < 40; i += 1) {
    jobs.push(cell.submit([{ count: 2 }]))
    await cell.run(100)
  }
  await cell.run(8000)
  t.is(jobs.filter((job) => job.reportedPhase === 'failed').length, 0)
  t.is(jobs.filter((job) => job.reportedPhase === 'completed').length, 40)
})

test('a job fails after as many failed runs as its queue allows, and no run is started after that', async (t) => {
  // The job can't succeed. Its state must say so to the caller, and no further runs may occupy hosts.
  const cell = new SimulatedCell({ hosts: 3, host: { endOf: () => 'failed' } })
  const job = cell.submit([{}], { maxAttempts: 3 })
  await cell.run(15_000)
  t.is(job.reportedPhase, 'failed')
  t.is(cell.hosts.flatMap((host) => host.started).length, 3)
})

test('a draining host gets no new work', async (t) => {
  const cell = new SimulatedCell({ hosts: 2 })
  await cell.run(400)
  cell.host(0).isDraining = true
  await cell.run(400)
  cell.submit([{ count: 6 }])
  await cell.run(3000)
  t.is(cell.host(0).started.length, 0)
  t.is(cell.host(1).started.length, 6)
})

test('a job that is cancelled is stopped everywhere', async (t) => {
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => 30_000 } })
  const job = cell.submit([{ count: 4 }])
  await cell.run(1000)
  job.phase = 'cancelled'
  cell.scheduler.stopJob(job)
  await cell.run(1000)
  t.is(cell.hosts.reduce((sum, host) => sum + host.running.size, 0), 0)
  t.true(job.steps.every((step) => step.hasNoRuns))
})

test('a run whose ticket expired while it was recorded gets a new one', async (t) => {
  // The store takes longer to record a run than its ticket is valid. The run would keep its resources and its task for ever, and
  // the job would stop halfway in an empty cell.
  const cell = new SimulatedCell({ hosts: 2, saveMs: 700 })
  const advice = { baseMs: 10, perHostMs: 0.1, validMs: 600 }
  const job = cell.submit([{ count: 3 }], { advice })
  const gang = cell.submit([{ count: 2, gang: true }], { advice })
  await cell.run(6000)
  t.is(job.reportedPhase, 'completed')
  t.is(gang.reportedPhase, 'completed')
})

test('no order carries a ticket that expired before the answer with it arrived', async (t) => {
  const cell = new SimulatedCell({ hosts: 4, saveMs: 700, adviceMs: () => 50, adviceReplyDelayMs: 1000, ticketValidMs: 1500 })
  const advice = { baseMs: 50, perHostMs: 0, validMs: 1500 }
  const job = cell.submit([{ count: 3 }], { advice })
  const gang = cell.submit([{ count: 2, gang: true }], { advice })
  await cell.run(8000)
  t.is(cell.staleTicketCount, 0)
  t.is(job.reportedPhase, 'completed')
  t.is(gang.reportedPhase, 'completed')
})

test('a gang of which one member gets no ticket is dropped as a whole and tried again', async (t) => {
  // The tickets of a gang expire, and the call for new ones omits a host that has just restarted. If only that member were
  // dropped, the others would keep their resources and wait for it for ever.
  let calls = 0
  const cell = new SimulatedCell({
    hosts: 3,
    saveMs: 700,
    allows: (hostId, { hostIds }) => {
      if (hostId === hostIds[0]) calls += 1
      return calls !== 2 || hostId !== hostIds[0]
    }
  })
  const advice = { baseMs: 10, perHostMs: 0.1, validMs: 600 }
  const gang = cell.submit([{ count: 3, cpuMillicores: 6000, gang: true }], { advice })
  await cell.run(8000)
  t.true(calls > 2)
  t.is(gang.reportedPhase, 'completed')
})

test('a gang in a large cell that is three quarters full starts after one round of advice', async (t) => {
  // Every host has room for one member, and a quarter of the hosts may run the step. If it named as many hosts as would hold the
  // gang if they were empty, the service would allow half of the places it needs, and further rounds of calls would take seconds
  // although there is room for all of it.
  const cell = new SimulatedCell({
    hosts: 200,
    host: { workMs: ({ jobId }) => jobId.endsWith('1') ? 60_000 : 1000 },
    allows: (hostId) => Number(hostId.slice('host-'.length)) % 4 === 0,
    adviceMs: ({ hostIds }) => 700 + 5 * hostIds.length
  })
  cell.submit([{ count: 1200, maxPerHost: 6, estimateMs: 60_000 }])
  await cell.run(600)
  const gang = cell.submit([{ count: 20, cpuMillicores: 2000, gang: true }], { advice: { baseMs: 700, perHostMs: 5, validMs: 1500 } })
  await cell.run(1300)
  t.true(gang.hasStarted)
  t.true(cell.maxOverCapacity <= 0)
})

test('gangs that arrive together start after one round of advice, since each names other hosts', async (t) => {
  // If all gangs named the emptiest hosts, these would be the same ones, and all but the first gang would need two or three
  // further rounds in an empty cell.
  const cell = new SimulatedCell({
    hosts: 200,
    adviceMachines: 60,
    host: { workMs: () => 20_000 },
    allows: (hostId, { jobId }) => hash32(`${hostId} of ${jobId}`) % 4 === 0,
    adviceMs: ({ hostIds }) => 700 + 5 * hostIds.length
  })
  const advice = { baseMs: 700, perHostMs: 5, validMs: 1500 }
  const gangs = Array.from({ length: 10 }, () => cell.submit([{ count: 16, cpuMillicores: 2500, gang: true, estimateMs: 20_000 }], { advice }))
  await cell.run(1300)
  t.deepEqual(gangs.map((gang) => gang.hasStarted), gangs.map(() => true))
})

test('a gang names many hosts at once only if a further round of advice is slow', async (t) => {
  const namedAtOnce = async (baseMs: number): Promise<number> => {
    const named = new Set<string>()
    const cell = new SimulatedCell({
      hosts: 200,
      allows: (hostId) => named.add(hostId).has(hostId),
      adviceMs: () => baseMs
    })
    cell.submit([{ count: 16, cpuMillicores: 2500, gang: true }], { advice: { baseMs, perHostMs: 0, validMs: 1500 } })
    await cell.run(baseMs + 100)
    return named.size
  }
  t.true(await namedAtOnce(20) < await namedAtOnce(700))
})

test('a run whose stop is confirmed again and again is gone with the next poll', async (t) => {
  // The host restarts before it answers the order. A poll takes longer than the time after which the stop is sent again.
  const cell = new SimulatedCell({ hosts: 1, holdMs: 1000 })
  await cell.run(1500)
  cell.host(0).losesStarts = true
  const job = cell.submit([{ count: 1 }], { advice: ADVICE })
  await cell.run(300)
  cell.host(0).losesStarts = false
  cell.host(0).restart()
  await cell.run(8000)
  t.is(job.phase, 'completed')
})

test('a run whose end is not listed yet when a poll is answered does not start again', async (t) => {
  // The exit of a run and the listing of its end are two steps, and a poll between them shows the run in neither list.
  const cell = new SimulatedCell({ hosts: 2 })
  for (const host of cell.hosts) host.listingMs = 150
  await cell.run(1500)
  const jobs = Array.from({ length: 8 }, () => cell.submit([{ count: 2 }]))
  await cell.run(8000)
  t.true(jobs.every((job) => job.phase === 'completed'))
  t.is(cell.hosts.reduce((sum, { started }) => sum + started.length, 0), 16)
})

test('a run that a host started after a restart is not lost when the owner learns of the restart', async (t) => {
  // The answer to the order doesn't name the incarnation, and the poll that does comes later.
  const cell = new SimulatedCell({ hosts: 1, holdMs: 1000, host: { workMs: () => 200 } })
  await cell.run(1500)
  cell.host(0).restart()
  const job = cell.submit([{ count: 2 }])
  await cell.run(8000)
  t.is(job.phase, 'completed')
  t.is(cell.host(0).started.length, 2)
})
