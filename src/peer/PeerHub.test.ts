/**
 * Tests of two hubs in one process, over real sockets on 127.0.0.1.
 */

import test from 'ava'

import type { Result } from 'neverthrow'
import { disposeAll, identity, startHub, TEST_KEY } from '../../test/support/PeerHubs.js'
import { TcpForwarder } from '../../test/support/TcpForwarder.js'
import { until } from '../../test/support/Until.js'
import { SystemClock } from '../common/Clock.js'
import { AmbiguousError, RefusedError, UnreachableError } from '../common/Errors.js'
import { SeededRandom } from '../common/Random.js'
import type { IDisposable, IProcessIdentity } from '../common/Types.js'
import { PeerHub } from './PeerHub.js'
import type { PeerHubSettings } from './PeerHubOptions.js'
import type { IPeerLink, PeerError } from './Types.js'

const DIAL_ROUNDS = 25
const FAST_HEARTBEAT = { heartbeatMs: 50, silenceLimitMs: 300 }

interface ILinkedPair {
  readonly a: PeerHub
  readonly b: PeerHub
  readonly linkToB: IPeerLink
  readonly forwarder: TcpForwarder
  readonly dial: IDisposable
}

/** Hub a dials hub b through a forwarder. */
async function linkedPair (settings: Partial<PeerHubSettings> = {}): Promise<ILinkedPair> {
  const { hub: a } = await startHub(identity('a'), settings)
  const { hub: b, url } = await startHub(identity('b', 1, 'east'), settings)
  const forwarder = new TcpForwarder(Number(new URL(url).port))
  const dial = a.dial(`ws://127.0.0.1:${await forwarder.listen()}`, 'b')
  await until(() => a.link('b') !== undefined && b.link('a') !== undefined)
  return { a, b, linkToB: a.link('b') as IPeerLink, forwarder, dial }
}

async function endPair (pair: ILinkedPair): Promise<void> {
  pair.a.dispose()
  pair.b.dispose()
  await pair.forwarder.close()
}

function callOnceLinked (hub: PeerHub): Promise<Result<{ readonly cancelled: boolean }, PeerError>> {
  return new Promise((resolve) => {
    hub.onLink((link) => { resolve(link.call('cancel', { attemptId: '1' }, 5_000)) })
  })
}

function neverResolve (): Promise<never> {
  return new Promise(() => {})
}

test.after.always(disposeAll)

test('calls answered out of order each receive their own reply, and casts are delivered', async (t) => {
  const pair = await linkedPair()
  const waiting = new Map<string, () => void>()
  pair.b.handle('drain', async (request) => {
    const hostId = String(request.hostId)
    await new Promise<void>((resolve) => { waiting.set(hostId, resolve) })
    return { draining: hostId === 'second' }
  })
  const receivedFrom: IProcessIdentity[] = []
  pair.b.listen('members', (_cast, from) => receivedFrom.push(from))
  const first = pair.linkToB.call('drain', { hostId: 'first' }, 5_000)
  const second = pair.linkToB.call('drain', { hostId: 'second' }, 5_000)
  await until(() => waiting.size === 2)
  waiting.get('second')?.()
  t.deepEqual((await second)._unsafeUnwrap(), { draining: true })
  waiting.get('first')?.()
  t.deepEqual((await first)._unsafeUnwrap(), { draining: false })
  pair.linkToB.cast('members', { news: [] })
  await until(() => receivedFrom.length === 1)
  t.is(receivedFrom[0]?.processId, 'a')
  t.true(pair.a.traffic().crossRegionSentBytes > 0)
  await endPair(pair)
})

test('a call ends with the error that shows whether it may have taken effect', async (t) => {
  const pair = await linkedPair({ maxFrameBytes: 10_000 })
  pair.b.handle('drain', async (request) => {
    if (request.hostId === 'refuse') throw new RefusedError('drain', 'h1', 'no such host')
    throw new Error('failed half-way')
  })
  pair.b.handle('cancel', neverResolve)
  const failure = async (call: ReturnType<IPeerLink['call']>): Promise<unknown> => (await call)._unsafeUnwrapErr()
  const refused = await failure(pair.linkToB.call('drain', { hostId: 'refuse' }, 5_000)) as RefusedError
  t.true(refused instanceof RefusedError)
  t.is(refused.peer, 'b')
  t.regex(refused.message, /peer\.drain b.*no such host/)
  t.true(await failure(pair.linkToB.call('drain', {}, 5_000)) instanceof AmbiguousError)
  t.true(await failure(pair.linkToB.call('jobStatus', { jobId: 'j' }, 5_000)) instanceof RefusedError)
  t.true(await failure(pair.linkToB.call('cancel', { attemptId: 'x' }, 20)) instanceof AmbiguousError)
  t.true(await failure(pair.linkToB.call('cancel', { attemptId: 'x'.repeat(20_000) }, 5_000)) instanceof UnreachableError)
  await endPair(pair)
})

test('a reply that arrives after its call has timed out does not complete another call', async (t) => {
  // The peer stalls for longer than the call's timeout, and its reply arrives while the next call is in progress. If the
  // reply completed that call, a caller would receive the result of another request.
  const pair = await linkedPair()
  const release: Array<() => void> = []
  pair.b.handle('cancel', async () => {
    await new Promise<void>((resolve) => { release.push(resolve) })
    return { cancelled: release.length > 1 }
  })
  t.true((await pair.linkToB.call('cancel', { attemptId: '1' }, 10)).isErr())
  const next = pair.linkToB.call('cancel', { attemptId: '2' }, 5_000)
  await until(() => release.length === 2)
  release[0]?.()
  await until(() => pair.a.counters.lateReplies === 1)
  release[1]?.()
  t.true((await next).isOk())
  await endPair(pair)
})

test('two hubs that dial each other at the same time end with one connection, and no call fails', async (t) => {
  // Two processes start at the same time and dial each other. A call is sent on the first connection that is ready, just
  // as the other side replaces this connection by the second one. If the connection were closed at once, the call would
  // end as ambiguous although nothing failed.
  for (let round = 0; round < DIAL_ROUNDS; round++) {
    const { hub: a, url: urlA } = await startHub(identity('a'))
    const { hub: b, url: urlB } = await startHub(identity('b'))
    for (const hub of [a, b]) hub.handle('cancel', async () => ({ cancelled: true }))
    const calls = [callOnceLinked(a), callOnceLinked(b)]
    a.dial(urlB, 'b')
    b.dial(urlA, 'a')
    t.deepEqual((await Promise.all(calls)).map((result) => result.isOk()), [true, true])
    a.dispose()
    b.dispose()
  }
})

test('an invalid address fails the dial, and a key that is too short fails the start', async (t) => {
  const { hub } = await startHub(identity('a'))
  for (const url of ['ws://', 'nonsense', 'ws://localhost:1', 'http://127.0.0.1:1']) hub.dial(url, url)
  await until(() => hub.counters.failedHandshakes >= 4)
  hub.dispose()
  const clock = new SystemClock()
  const hubWithShortKey = new PeerHub(identity('b'), { sharedKey: 'short' }, { clock, timers: clock, random: new SeededRandom(1) })
  t.true((await hubWithShortKey.start()).isErr())
  hubWithShortKey.dispose()
})

test('when one direction of the connection is cut, both sides detect it and calls in flight end as ambiguous', async (t) => {
  // A faulty switch drops what b sends, while the bytes of a still arrive. The connection stays open, so only the silence
  // of b shows the fault. Otherwise a call would wait until its own timeout for a reply that can't arrive.
  const pair = await linkedPair(FAST_HEARTBEAT)
  let handled = 0
  pair.b.handle('cancel', () => {
    handled += 1
    return neverResolve()
  })
  const lost: string[] = []
  pair.a.onLost((peer) => lost.push(peer.processId))
  const call = pair.linkToB.call('cancel', { attemptId: '1' }, 60_000)
  await until(() => handled === 1)
  pair.forwarder.cut('toClient')
  t.true((await call)._unsafeUnwrapErr() instanceof AmbiguousError)
  t.deepEqual(lost, ['b'])
  t.true((await pair.linkToB.call('cancel', { attemptId: '2' }, 1_000))._unsafeUnwrapErr() instanceof UnreachableError)
  pair.forwarder.heal()
  await until(() => pair.a.link('b') !== undefined && pair.b.link('a') !== undefined)
  await endPair(pair)
})

test('a restarted process replaces its earlier incarnation, which is refused from then on', async (t) => {
  // A process restarts while its old connection still seems to be open. Messages must be sent to the new incarnation. If
  // the old connection were kept, messages would be lost until its silence is detected.
  const { hub: a, url } = await startHub(identity('a'))
  const { hub: old } = await startHub(identity('b', 1))
  const lost: number[] = []
  a.onLost((peer) => lost.push(peer.incarnation))
  old.dial(url, 'a')
  await until(() => a.link('b') !== undefined)
  const { hub: restarted } = await startHub(identity('b', 2))
  restarted.dial(url, 'a')
  await until(() => a.link('b')?.peer.incarnation === 2)
  await until(() => old.counters.failedHandshakes > 0)
  t.is(a.link('b')?.peer.incarnation, 2)
  t.deepEqual(lost, [1])
  for (const hub of [a, old, restarted]) hub.dispose()
})

test('a process with a different key gets no link', async (t) => {
  // A process of another cell, which has a different key, dials by mistake. If it got a link, its messages would be
  // processed as those of a process of this cell.
  const { hub: a, url } = await startHub(identity('a'))
  const { hub: stranger } = await startHub(identity('s'), { sharedKey: `${TEST_KEY}, but another` })
  stranger.dial(url, 'a')
  await until(() => stranger.counters.failedHandshakes > 2)
  t.is(a.links().length, 0)
  t.is(stranger.links().length, 0)
  a.dispose()
  stranger.dispose()
})

test('a graceful close answers the calls in progress and refuses new ones as not run', async (t) => {
  // An operator stops a process that is running a call. The caller must get the reply, and a call that arrives too late
  // must be reported as not run, so that it can be sent to another process.
  const pair = await linkedPair()
  let finish: (() => void) | undefined
  pair.b.handle('cancel', async () => {
    await new Promise<void>((resolve) => { finish = resolve })
    return { cancelled: true }
  })
  const call = pair.linkToB.call('cancel', { attemptId: '1' }, 60_000)
  await until(() => finish !== undefined)
  const closed = pair.b.close(60_000)
  const late = await pair.linkToB.call('cancel', { attemptId: '2' }, 60_000)
  t.true(late._unsafeUnwrapErr() instanceof UnreachableError)
  finish?.()
  t.deepEqual((await call)._unsafeUnwrap(), { cancelled: true })
  await closed
  await until(() => pair.a.link('b') === undefined)
  await endPair(pair)
})
