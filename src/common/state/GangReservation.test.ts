/**
 * All-at-once jobs over several schedulers, in the most important cases. The specification explores the races.
 */

import test from 'ava'
import { DEFAULT_GANG_OPTIONS, GangReservation } from './GangReservation.js'

import type { IPlaceTaskRequest } from '../protocol/Types.js'

function tasks (...ids: string[]): readonly IPlaceTaskRequest[] {
  const resources = { cores: 1, memoryBytes: 1, accelerators: 0 }
  return ids.map((taskId) => ({ jobId: 'j', service: 's', caller: 'c', task: { taskId, resources }, attempt: 1, jobOwner: 'o' }))
}

function setUp (): GangReservation {
  return new GangReservation(7, tasks('a', 'b'), ['s2', 's1', 's3'], DEFAULT_GANG_OPTIONS)
}

test('places are requested in the order of process ids, for the missing tasks only, and then all start', (t) => {
  const gang = setUp()
  t.like(gang.nextCommands(0)[0], { type: 'reserve', scheduler: 's1', tryNumber: 7 })
  t.deepEqual(gang.nextCommands(0), [])
  gang.reportReserved('s1', [])
  t.like(gang.nextCommands(1)[0], { type: 'reserve', scheduler: 's2' })
  gang.reportReserved('s2', ['a'])
  const third = gang.nextCommands(2)[0]
  t.deepEqual(third?.type === 'reserve' ? third.tasks.map(({ task }) => task.taskId) : [], ['b'])
  gang.reportReserved('s3', ['b'])
  t.deepEqual(gang.nextCommands(3).map(({ type, scheduler }) => [type, scheduler]), [['start', 's2'], ['start', 's3']])
  gang.reportStarted('s2', true)
  gang.reportStarted('s3', true)
  t.is(gang.phase, 'running')
})

// There is room for half of the job. If such jobs kept that half, two of them would wait for each other for ever.
test('a try that can\'t be completed is given back, and nothing more is sent', (t) => {
  const gang = setUp()
  for (const scheduler of ['s1', 's2', 's3']) {
    gang.nextCommands(0)
    gang.reportReserved(scheduler, scheduler === 's1' ? ['a'] : [])
  }
  t.deepEqual(gang.nextCommands(0).map(({ type, scheduler }) => [type, scheduler]), [['giveBack', 's1'], ['giveBack', 's2'], ['giveBack', 's3']])
  for (const scheduler of ['s1', 's2', 's3']) gang.reportGivenBack(scheduler)
  t.is(gang.phase, 'givenBack')
  t.deepEqual(gang.nextCommands(10_000), [])
})

// A scheduler dies between the starts. Without the cancellation, half of the job would run and wait for the other half.
test('a failed start cancels those that succeeded', (t) => {
  const gang = setUp()
  gang.nextCommands(0)
  gang.reportReserved('s1', ['a'])
  gang.nextCommands(0)
  gang.reportReserved('s2', ['b'])
  gang.nextCommands(0)
  gang.reportStarted('s1', true)
  gang.reportStarted('s2', false)
  t.deepEqual(gang.nextCommands(0).map(({ type, scheduler }) => [type, scheduler]), [['giveBack', 's1'], ['giveBack', 's2']])
  gang.reportGiveBackFailed('s2')
  t.deepEqual(gang.nextCommands(0).map(({ scheduler }) => scheduler), ['s2'])
})

// The last reservation took so long that the first is about to expire, and a start would arrive after that.
test('nothing starts when a reservation is about to expire', (t) => {
  const gang = setUp()
  gang.nextCommands(0)
  gang.reportReserved('s1', ['a'])
  gang.nextCommands(4_500)
  gang.reportReserved('s2', ['b'])
  t.deepEqual(gang.nextCommands(4_600).map(({ type }) => type), ['giveBack', 'giveBack'])
})
