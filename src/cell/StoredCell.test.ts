/**
 * What a new owner does with records of jobs that other programs have left in the store.
 */

import test from 'ava'
import { SimulatedCell } from '../../test/support/SimulatedCell.js'
import { encodeAccepted, encodeProgress } from '../common/cell/JobRecord.js'
import { JOB_PREFIX, PROGRESS_PREFIX } from './Keys.js'
import { restoreJobs } from './StoredCell.js'

import type { ILogger } from '../common/observability/Types.js'
import type { HostSessions } from './HostSessions.js'
import type { IStoredCell, IStoredCellContext } from './StoredCell.js'

/** More tasks than the memory of a controller holds. */
const HUGE_COUNT = 1e8

interface IMalformedRecord {
  readonly field: string
  readonly accepted?: object
  readonly progress?: object
}

const MALFORMED_RECORDS: readonly IMalformedRecord[] = [
  { field: 'job.steps', accepted: { job: { jobId: 'malformed', description: '', steps: [{ count: HUGE_COUNT }] } } },
  { field: 'job.steps.0.count', accepted: { job: { jobId: 'malformed', description: '', steps: [{ count: 1.5 }] } } },
  { field: 'job.steps.0.cpuMillicores', accepted: { job: { jobId: 'malformed', description: '', steps: [{ count: 1, cpuMillicores: -5 }] } } },
  { field: 'job.steps.0.after', accepted: { job: { jobId: 'malformed', description: '', steps: [{ count: 1, after: [0] }] } } },
  { field: 'job.jobId', accepted: { job: { jobId: 'other', description: '', steps: [{ count: 1 }] } } },
  { field: 'queue', accepted: { queue: {} } },
  { field: 'queue.stretch', accepted: { queue: { name: 'q', service: 'pool', priority: 1, maxAttempts: 3, stretch: null, targetMs: 1 } } },
  { field: 'receivedAtWallMs', accepted: { receivedAtWallMs: 'now' } },
  { field: 'phase', progress: { phase: 'malformed' } },
  { field: 'tasks', progress: { tasks: [[0, 0, 1e300, 0, 0, '']] } },
  { field: 'steps', progress: { steps: [['a']] } }
]

for (const { field, accepted = {}, progress = {} } of MALFORMED_RECORDS) {
  test(`a new owner leaves out a job whose record is malformed, and restores the others: ${field} ${JSON.stringify(accepted).slice(-30)}`, (t) => {
    // A number of tasks that no memory holds ended the process of each new owner; other values got into the sums over the cell.
    const cell = new SimulatedCell({ hosts: 1 })
    const job = cell.createJob([{ count: 2 }])
    const good = { accepted: encodeAccepted(job, 0), progress: encodeProgress(job, 0) }
    const malformed = {
      accepted: JSON.stringify({ ...JSON.parse(encodeAccepted(cell.createJob([{}]), 0)), ...withId(good.accepted), ...accepted }),
      progress: JSON.stringify({ ...JSON.parse(good.progress), ...progress })
    }
    const reasons: string[] = []
    const log: ILogger = { debug: () => {}, info: () => {}, warn: () => {}, error: (_event, fields) => { reasons.push(String(fields?.reason)) } }
    const items = (prefix: string, kind: keyof typeof good) => [
      { key: `${prefix}malformed`, value: malformed[kind], revision: 1 }, { key: prefix + job.spec.jobId, value: good[kind], revision: 1 }
    ]
    const stored = { accepted: items(JOB_PREFIX, 'accepted'), progress: items(PROGRESS_PREFIX, 'progress') } as unknown as IStoredCell
    restoreJobs(stored, cell.scheduler, {} as HostSessions, { clock: cell.clock, log } as unknown as IStoredCellContext)
    t.deepEqual([...cell.scheduler.jobs.keys()], [job.spec.jobId])
    t.is(reasons.length, 1)
    t.true(reasons[0]?.includes(`${field}:`), reasons[0])
  })
}

/** The job of the record under the id of the malformed one. */
function withId (record: string): object {
  const { job } = JSON.parse(record) as { readonly job: object }
  return { job: { ...job, jobId: 'malformed' } }
}
