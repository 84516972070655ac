/**
 * Tests the worker client against the stand-in: leases on the host's clock, fencing, and the long poll.
 */

import test from 'ava'

import type { ExecutionContext } from 'ava'
import { AmbiguousError, FencedError, RefusedError, UnreachableError } from '../common/Errors.js'
import { createHostRecord, startWorker } from '../../test/standins/inProcess.js'
import { WORKER_CLIENT_DEFAULTS, WorkerClient } from './WorkerClient.js'

import type { IFence, ITaskStart } from './Types.js'

const FENCE: IFence = { shardId: 'shard-1', epoch: 1 }
const LONG_MS = 60_000
const OFFSET_MS = 5_000_000

function clientOf (t: ExecutionContext, commandTimeoutMs = WORKER_CLIENT_DEFAULTS.commandTimeoutMs): WorkerClient {
  const client = new WorkerClient({ ...WORKER_CLIENT_DEFAULTS, commandTimeoutMs })
  t.teardown(() => { client.dispose() })
  return client
}

function taskOf (taskId: string, leaseExpiresHostMs: number, runMs = LONG_MS): ITaskStart {
  return {
    taskId, attempt: 1, jobId: 'job-1', service: 'sectorSweep', resources: { cores: 1, memoryBytes: 1, accelerators: 0 }, runMs, leaseExpiresHostMs
  }
}

test('the long poll reports the end of a task at once, and renews leases on the host\'s clock', async (t) => {
  const worker = await startWorker(t, OFFSET_MS)
  const host = createHostRecord(worker.url, 'worker')
  const client = clientOf(t)
  const { hostMs } = (await client.fence(host, FENCE))._unsafeUnwrap()
  t.true(hostMs >= OFFSET_MS)
  await client.start(host, FENCE, [taskOf('short', hostMs + LONG_MS, 50), taskOf('unrenewed', hostMs + 200)])
  const sync = { fence: FENCE, leaseExpiresHostMs: 0, waitMs: LONG_MS }
  const first = (await client.sync(host, { ...sync, afterSequence: 0 }))._unsafeUnwrap()
  t.is(first.tasks.find((task) => task.taskId === 'short')?.state, 'succeeded')
  const second = (await client.sync(host, { ...sync, afterSequence: first.sequence }))._unsafeUnwrap()
  t.is(second.tasks.find((task) => task.taskId === 'unrenewed')?.state, 'leaseLapsed')
})

test('a start that arrives after the task\'s lease expired or after its stop does not run the task', async (t) => {
  // A start is delayed in the network, and meanwhile the task is placed on another host. If the delayed start still ran, the
  // task would run on two hosts at once.
  const worker = await startWorker(t)
  const host = createHostRecord(worker.url, 'worker')
  const client = clientOf(t)
  const { hostMs } = (await client.fence(host, FENCE))._unsafeUnwrap()
  t.true((await client.stop(host, FENCE, 'stopped', 1)).isOk())
  const status = (await client.start(host, FENCE, [taskOf('late', hostMs - 1), taskOf('stopped', hostMs + LONG_MS)]))._unsafeUnwrap()
  t.deepEqual(status.tasks.map((task) => task.state), ['leaseLapsed', 'stopped'])
  t.like(worker.standIn.dump(), { starts: 0 })
})

test('an older epoch is fenced, a leaving worker refuses, a hanging one is ambiguous, and a dead one is unreachable', async (t) => {
  const worker = await startWorker(t)
  const host = createHostRecord(worker.url, 'worker')
  const client = clientOf(t, 100)
  const { hostMs } = (await client.fence(host, { ...FENCE, epoch: 3 }))._unsafeUnwrap()
  const fenced = (await client.start(host, FENCE, [taskOf('a', hostMs + LONG_MS)]))._unsafeUnwrapErr()
  t.true(fenced instanceof FencedError && fenced.currentEpoch === 3)
  worker.standIn.control({ leaving: true })
  const refused = (await client.start(host, { ...FENCE, epoch: 3 }, [taskOf('a', hostMs + LONG_MS)]))._unsafeUnwrapErr()
  t.is(refused.constructor, RefusedError)
  worker.standIn.control({ leaving: false, hang: true })
  const hung = await client.start(host, { ...FENCE, epoch: 3 }, [taskOf('a', hostMs + LONG_MS)])
  t.true(hung._unsafeUnwrapErr() instanceof AmbiguousError)
  worker.server.refuseConnections()
  t.true((await client.fence(host, { ...FENCE, epoch: 3 }))._unsafeUnwrapErr() instanceof UnreachableError)
})
