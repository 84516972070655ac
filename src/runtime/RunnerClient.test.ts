/**
 * Tests the runner client against the stand-in: the outcome of each call must agree with the runner's own record.
 */

import { randomBytes } from 'node:crypto'
import { createServer } from 'node:net'

import test from 'ava'

import type { AddressInfo } from 'node:net'
import { AmbiguousError, FencedError, RefusedError, UnreachableError } from '../common/Errors.js'
import { createHostRecord, startRunner } from '../../test/standins/inProcess.js'
import { eventually } from '../../test/support/Eventually.js'
import { RUNNER_CLIENT_DEFAULTS, RunnerClient } from './RunnerClient.js'

import type { ExecutionContext } from 'ava'
import type { RunnerStandIn } from '../../test/standins/RunnerStandIn.js'
import type { IRunnerCall } from './Types.js'

interface IRunnerDump {
  readonly started: number
  readonly slotsInUse: number
  readonly mostConnections: number
  readonly records: ReadonlyArray<{ readonly attemptId: string, readonly caller: string, readonly requestId: string }>
}

const LONG_MS = 60_000

function callOf (attemptId: string, fields: Partial<IRunnerCall> = {}): IRunnerCall {
  return {
    fence: { shardId: 'shard-1', epoch: 1 },
    service: 'chipLookup',
    caller: 'shelter',
    requestId: `request-of-${attemptId}`,
    attemptId,
    timeoutMs: 20_000,
    contentType: 'application/octet-stream',
    body: Buffer.from('chip 12'),
    ...fields
  }
}

function clientOf (t: ExecutionContext): RunnerClient {
  const client = new RunnerClient()
  t.teardown(() => { client.dispose() })
  return client
}

function dumpOf (runner: RunnerStandIn): IRunnerDump {
  return runner.dump() as IRunnerDump
}

test('a binary body of one megabyte is returned unchanged, and names in any script reach the runner', async (t) => {
  const runner = await startRunner(t)
  const body = randomBytes(1024 * 1024)
  const call = callOf('a1', { body, caller: 'Tierheim Süd / 北', requestId: 'eins, zwei\n%20' })
  const answer = (await clientOf(t).run(createHostRecord(runner.url), call))._unsafeUnwrap()
  t.is(answer.status, 200)
  t.is(answer.contentType, 'application/octet-stream')
  t.true(body.equals(answer.body))
  t.like(dumpOf(runner.standIn).records[0], { caller: call.caller, requestId: call.requestId })
})

test('an error status of the service is a response and not a refusal', async (t) => {
  const runner = await startRunner(t)
  runner.standIn.control({ failEverything: true })
  const answer = (await clientOf(t).run(createHostRecord(runner.url), callOf('a1')))._unsafeUnwrap()
  t.is(answer.status, 500)
  t.is(dumpOf(runner.standIn).started, 1)
})

test('a truncated response is an error', async (t) => {
  // A runner dies while it sends its response. Without the check, a caller would get half of a list of sightings with a
  // success status, and treat it as the whole list.
  const runner = await startRunner(t)
  runner.standIn.control({ services: { chipLookup: { cutRate: 1 } } })
  const error = (await clientOf(t).run(createHostRecord(runner.url), callOf('a1')))._unsafeUnwrapErr()
  t.true(error instanceof AmbiguousError)
  t.is(dumpOf(runner.standIn).started, 1)
})

test('a response without a length is an error', async (t) => {
  // An upstream that ends its response by closing the connection can't be distinguished from one that died half-way. The
  // caller would get a truncated body as a complete one.
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => { socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of') })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  t.true((await clientOf(t).run(createHostRecord(url), callOf('a1')))._unsafeUnwrapErr() instanceof AmbiguousError)
})

test('a runner without a free slot or one that is leaving refuses a call, which has not run', async (t) => {
  // Two owners of a runner overlap for a moment, or the host list lags behind a runner that leaves. A caller whose
  // call is refused there may be told that the call did not run.
  const runner = await startRunner(t, 1)
  runner.standIn.control({ services: { '*': { runMs: LONG_MS } } })
  const client = clientOf(t)
  const abort = new AbortController()
  const first = client.run(createHostRecord(runner.url), callOf('a1', { signal: abort.signal }))
  await eventually('the slot is in use', () => dumpOf(runner.standIn).slotsInUse === 1)
  const other = clientOf(t)
  t.is((await other.run(createHostRecord(runner.url), callOf('a2')))._unsafeUnwrapErr().constructor, RefusedError)
  runner.standIn.control({ leaving: true })
  t.is((await other.run(createHostRecord(runner.url), callOf('a3')))._unsafeUnwrapErr().constructor, RefusedError)
  t.deepEqual(dumpOf(runner.standIn).records.map((record) => record.attemptId), ['a1'])
  abort.abort()
  t.true((await first)._unsafeUnwrapErr() instanceof AmbiguousError)
})

test('a call with an older epoch is fenced, and the error contains the current epoch', async (t) => {
  // A scheduler was paused while another one took over its runners. The calls that it still sends must not run in addition
  // to the new owner's calls, or a pivot would be started twice.
  const runner = await startRunner(t)
  const client = clientOf(t)
  const status = (await client.fence(createHostRecord(runner.url), { shardId: 'shard-1', epoch: 7 }))._unsafeUnwrap()
  t.is(status.slots, 8)
  const error = (await client.run(createHostRecord(runner.url), callOf('a1')))._unsafeUnwrapErr()
  t.true(error instanceof FencedError && error.currentEpoch === 7)
  t.is(dumpOf(runner.standIn).started, 0)
})

test('a call to a host that accepts no connections is unreachable', async (t) => {
  const runner = await startRunner(t)
  runner.server.refuseConnections()
  t.true((await clientOf(t).run(createHostRecord(runner.url), callOf('a1')))._unsafeUnwrapErr() instanceof UnreachableError)
})

test('a call that times out on the runner may have run', async (t) => {
  // The runner is slow or its response is lost. If the call counted as "not run", the caller would send a broadcast again.
  const runner = await startRunner(t)
  runner.standIn.control({ services: { '*': { hangRate: 1 } } })
  const error = (await clientOf(t).run(createHostRecord(runner.url), callOf('a1', { timeoutMs: 300 })))._unsafeUnwrapErr()
  t.true(error instanceof AmbiguousError)
  t.is(dumpOf(runner.standIn).started, 1)
})

test('a call that times out while it waits for a connection never runs', async (t) => {
  // All connections are busy, the caller's deadline passes, and the caller is told "not run". The call must not be sent when
  // a connection becomes free, because the caller sends its broadcast again.
  const runner = await startRunner(t, 8)
  runner.standIn.control({ services: { slow: { runMs: 200 } } })
  const client = clientOf(t)
  const host = createHostRecord(runner.url, 'runner', 1)
  const first = client.run(host, callOf('a1', { service: 'slow' }))
  const second = client.run(host, callOf('a2', { timeoutMs: 20 }))
  t.true((await second)._unsafeUnwrapErr() instanceof UnreachableError)
  t.true((await first).isOk())
  t.true((await client.run(host, callOf('a3'))).isOk())
  t.deepEqual(dumpOf(runner.standIn).records.map((record) => record.attemptId), ['a1', 'a3'])
})

test('a call on an idle connection that the runner closes is ambiguous and written once', async (t) => {
  // A runner closes idle connections just when a call is sent on one of them. The client can't know whether the runner
  // read the call. If the client sent it again on a new connection, a pivot start could run twice.
  let reads = 0
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', () => {
      reads += 1
      if (reads === 1) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok')
      else socket.destroy()
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  const host = createHostRecord(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 'runner', 1)
  const client = clientOf(t)
  t.true((await client.run(host, callOf('a1'))).isOk())
  t.true((await client.run(host, callOf('a2')))._unsafeUnwrapErr() instanceof AmbiguousError)
  t.is(reads, 2)
})

test('a burst of calls uses no more than the slots, and a fence does not wait behind it', async (t) => {
  // Every slot is busy for a long time when another owner takes over the runner. The new fence must arrive at once, or the
  // runner's capacity is lost until the long calls end.
  const runner = await startRunner(t)
  runner.standIn.control({ services: { '*': { runMs: LONG_MS } } })
  const client = clientOf(t)
  const aborts = Array.from({ length: 50 }, () => new AbortController())
  const calls = aborts.map(({ signal }, index) => client.run(createHostRecord(runner.url), callOf(`a${index}`, { signal })))
  await eventually('all slots are in use', () => dumpOf(runner.standIn).slotsInUse === 8)
  const status = (await client.fence(createHostRecord(runner.url), { shardId: 'shard-1', epoch: 2 }))._unsafeUnwrap()
  t.is(status.slotsInUse, 8)
  for (const abort of aborts) abort.abort()
  const errors = (await Promise.all(calls)).map((result) => result._unsafeUnwrapErr())
  t.is(errors.filter((error) => error instanceof AmbiguousError).length, 8)
  t.is(errors.filter((error) => error instanceof UnreachableError).length, 42)
  t.is(dumpOf(runner.standIn).started, 8)
  t.true(dumpOf(runner.standIn).mostConnections <= 9)
})

test('a call whose response exceeds the size limit is ambiguous', async (t) => {
  const runner = await startRunner(t)
  runner.standIn.control({ services: { '*': { answerBytes: 5000 } } })
  const client = new RunnerClient({ ...RUNNER_CLIENT_DEFAULTS, maxAnswerBytes: 4096 })
  t.teardown(() => { client.dispose() })
  t.true((await client.run(createHostRecord(runner.url), callOf('a1')))._unsafeUnwrapErr() instanceof AmbiguousError)
})
