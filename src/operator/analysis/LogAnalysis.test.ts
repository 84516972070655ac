/**
 * Tests the analysis of logs with submissions, refusals, a change of the owner and lost runs.
 */

import test from 'ava'
import { analyseLogs } from './LogAnalysis.js'
import { readLogEvents } from './LogEvents.js'

const BEGIN_MS = Date.parse('2026-03-01T10:00:00.000Z')

function logLine (atMs: number, event: string, fields: Readonly<Record<string, unknown>>, process = 'gateway-1'): string {
  return JSON.stringify({ time: new Date(BEGIN_MS + atMs).toISOString(), level: 'info', event, process, ...fields })
}

const COMPLETED = [
  logLine(40, 'job.accepted', { requestId: 'a', queue: 'lookups', workspace: 'blue' }, 'owner-1'),
  logLine(45, 'caller.answered', { requestId: 'a', queue: 'lookups', outcome: 'accepted', durationMs: 45 }),
  logLine(60, 'advice.answered', { requestId: 'a', step: '0', waitMs: 30 }, 'owner-1'),
  logLine(110, 'run.ordered', { requestId: 'a', task: '0.0', run: 1, outcome: 'started', recordMs: 20, durationMs: 10 }, 'owner-1'),
  logLine(900, 'run.ended', { requestId: 'a', task: '0.0', run: 1, end: 'done', ranMs: 800, cpuMillicores: 1000 }, 'owner-1'),
  logLine(915, 'job.finished', { requestId: 'a', queue: 'lookups', phase: 'completed', ageMs: 915, objectiveMs: 2000 }, 'owner-1')
]
const NOT_ACCEPTED = [
  logLine(2100, 'caller.answered', { requestId: 'b', queue: 'lookups', outcome: 'refused', reason: 'the store is away', durationMs: 100 }),
  logLine(3100, 'caller.answered', { requestId: 'b', queue: 'lookups', outcome: 'inDoubt', reason: 'no reply within 300.5 ms', durationMs: 300 })
]
const OWNER_CHANGE = [
  logLine(3000, 'owner.owned', { revision: 9 }, 'owner-2'),
  logLine(3050, 'owner.ready', { revision: 9 }, 'owner-2'),
  logLine(3200, 'run.ordered', { requestId: 'c', task: '0.0', run: 1, recordMs: 5, durationMs: 5 }, 'owner-2'),
  logLine(3900, 'run.ended', { requestId: 'c', task: '0.0', run: 1, end: 'stopped', stopReason: 'gang', ranMs: 500, cpuMillicores: 4000 }, 'owner-2')
]

test('the log lines of several processes are combined into the history of a job', (t) => {
  const [gateway, owner] = [COMPLETED.filter((text) => text.includes('gateway-1')), COMPLETED.filter((text) => text.includes('owner-1'))]
  const { windows, workspaces, parts } = analyseLogs(readLogEvents([gateway.join('\n'), owner.join('\n')]), 2000)
  t.deepEqual(windows.map(({ fromS, queue, jobs, fates }) => [fromS, queue, jobs, fates.inTime]), [[0, 'lookups', 1, 1]])
  t.like(workspaces[0], { workspace: 'blue', jobs: 1, fates: { inTime: 1 } })
  const p50Ms = Object.fromEntries(parts.map(({ part, p50Ms }) => [part, p50Ms]))
  t.deepEqual(p50Ms, { untilAcceptedMs: 40, adviceMs: 30, roomMs: 20, recordMs: 20, tellMs: 15 })
})

test('a job that was not accepted is counted in the window of its first submission, with the outcome of its last one', (t) => {
  const { windows, refusals } = analyseLogs(readLogEvents([[...COMPLETED, ...NOT_ACCEPTED].join('\n')]), 2000)
  t.like(windows.find(({ fromS }) => fromS === 2), { jobs: 1, fates: { inDoubt: 1, inTime: 0 } })
  t.deepEqual(refusals.map(({ reason }) => reason).sort(), ['inDoubt: no reply within N ms', 'refused: the store is away'])
})

test('a change of the owner is reported with the time without orders, and a stopped run with the core seconds it used', (t) => {
  const { ownerChanges, losses } = analyseLogs(readLogEvents([[...COMPLETED, ...OWNER_CHANGE].join('\n')]), 2000)
  t.like(ownerChanges[0], { owner: 'owner-2', readyS: 3.05, firstOrderS: 3.2 })
  t.true(Math.abs((ownerChanges[0]?.gapS ?? 0) - 3.09) < 0.001)
  t.deepEqual(losses, [{ queue: '', end: 'stopped', reason: 'gang', runs: 1, coreSeconds: 2 }])
})

test('a log collector\'s prefix of a line is skipped, and lines that no process of the cell wrote are ignored', (t) => {
  const events = readLogEvents([`2026-03-01 host-7 ${COMPLETED[0] ?? ''}\nnot a line\n{"event":"x"}\n{"time":"2026-0`])
  t.deepEqual(events.map(({ event }) => event), ['job.accepted'])
})
