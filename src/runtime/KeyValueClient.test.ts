/**
 * The store's client against the stand-in, through lost answers, outages and forgotten history.
 */

import test from 'ava'

import type { ExecutionContext } from 'ava'
import { SystemClock } from '../common/Clock.js'
import { AmbiguousError, ConflictError, RefusedError, UnreachableError } from '../common/Errors.js'
import { SeededRandom } from '../common/Random.js'
import { startStore } from '../../test/standins/inProcess.js'
import { eventually } from '../../test/support/Eventually.js'
import { KEY_VALUE_DEFAULTS, KeyValueClient } from './KeyValueClient.js'

import type { KeyValueStandIn } from '../../test/standins/KeyValueStandIn.js'
import type { IStoreWatchListener } from './Types.js'

function clientOf (t: ExecutionContext, url: string, callTimeoutMs = KEY_VALUE_DEFAULTS.callTimeoutMs): KeyValueClient {
  const client = new KeyValueClient({ ...KEY_VALUE_DEFAULTS, url, callTimeoutMs }, new SystemClock(), new SeededRandom(1))
  t.teardown(() => { client.dispose() })
  return client
}

/** Keeps what a watcher would believe the store to hold. */
class Follower implements IStoreWatchListener {
  public readonly values = new Map<string, string>()
  public readonly reachable: boolean[] = []
  public resets = 0

  public onChanges (changes: Parameters<IStoreWatchListener['onChanges']>[0]): void {
    for (const change of changes) {
      if (change.deleted) this.values.delete(change.key)
      else this.values.set(change.key, change.value)
    }
  }

  public onReset (range: Parameters<IStoreWatchListener['onReset']>[0]): void {
    this.resets += 1
    this.values.clear()
    for (const record of range.records) this.values.set(record.key, record.value)
  }

  public onReachable (reachable: boolean): void {
    this.reachable.push(reachable)
  }
}

function waitingWatches (store: KeyValueStandIn): number {
  return (store.dump() as { waitingWatches: number }).waitingWatches
}

test('swaps by revision, and tells the loser of a race', async (t) => {
  const store = await startStore(t)
  const client = clientOf(t, store.url)
  const first = (await client.compareAndSwap('profiles/a', 0, 'one'))._unsafeUnwrap()
  t.true((await client.compareAndSwap('profiles/a', 0, 'two'))._unsafeUnwrapErr() instanceof ConflictError)
  const second = (await client.compareAndSwap('profiles/a', first, 'two'))._unsafeUnwrap()
  t.deepEqual((await client.get('profiles/a'))._unsafeUnwrap(), { key: 'profiles/a', value: 'two', modRevision: second })
  t.is((await client.range('profiles/'))._unsafeUnwrap().records.length, 1)
  t.true((await client.compareAndSwap('profiles/a', second, undefined)).isOk())
  t.is((await client.get('profiles/a'))._unsafeUnwrap(), undefined)
  t.true((await client.compareAndSwap('big', 0, 'x'.repeat(2 ** 20 + 1)))._unsafeUnwrapErr() instanceof RefusedError)
  t.is(client.callCount, 8)
})

test('a key goes with its lease, and a lapsed lease refuses to be kept alive', async (t) => {
  const store = await startStore(t)
  const client = clientOf(t, store.url)
  const leaseId = (await client.grantLease(60_000))._unsafeUnwrap()
  t.true((await client.compareAndSwap('members/a', 0, 'here', leaseId)).isOk())
  t.true((await client.keepAlive(leaseId)).isOk())
  store.standIn.lapseAll()
  await eventually('the key is gone', async () => (await client.get('members/a'))._unsafeUnwrap() === undefined)
  t.is((await client.keepAlive(leaseId))._unsafeUnwrapErr().constructor, RefusedError)
})

test('a write whose answer is lost is ambiguous, and has taken effect', async (t) => {
  // The store applies a profile and its answer is lost on the way. Taken for a failure, an operator would be told that
  // the change was not made while it is in force.
  const store = await startStore(t)
  store.standIn.control({ loseAnswers: 1 })
  const client = clientOf(t, store.url)
  t.true((await client.compareAndSwap('profiles/a', 0, 'one'))._unsafeUnwrapErr() instanceof AmbiguousError)
  t.is((await client.get('profiles/a'))._unsafeUnwrap()?.value, 'one')
})

test('an outage is told by its kind', async (t) => {
  // The store refuses connections: nothing can have taken effect, and the writer may say so. Where it hangs or cuts
  // the connection, a write may have taken effect and a read never does.
  const store = await startStore(t)
  const client = clientOf(t, store.url, 100)
  store.standIn.control({ outage: 'refuse' })
  t.true((await client.compareAndSwap('a', 0, '1'))._unsafeUnwrapErr() instanceof UnreachableError)
  store.standIn.control({ outage: 'hang' })
  await eventually('the listener is back', async () => (await client.compareAndSwap('a', 0, '1'))._unsafeUnwrapErr() instanceof AmbiguousError)
  t.true((await client.get('a'))._unsafeUnwrapErr() instanceof UnreachableError)
  t.false(client.reachable)
  store.standIn.control({ outage: 'reset' })
  t.true((await client.compareAndSwap('a', 0, '1'))._unsafeUnwrapErr() instanceof AmbiguousError)
  store.standIn.control({ outage: 'none' })
  t.true((await client.get('a')).isOk())
  t.true(client.reachable)
})

test('beyond its rate the store refuses, and nothing takes effect', async (t) => {
  const store = await startStore(t)
  store.standIn.control({ writesPerSecond: 1 })
  const client = clientOf(t, store.url)
  t.true((await client.compareAndSwap('a', 0, '1')).isOk())
  const second = await eventually('a write beyond the rate', async () => {
    const result = await client.compareAndSwap('b', 0, '1')
    return result.isErr() && result.error.constructor === RefusedError
  })
  t.true(second)
})

for (const outage of ['refuse', 'reset', 'hang']) {
  test(`a watch goes on after an outage: ${outage}`, async (t) => {
    // The store is gone for a while and an operator changes a profile just after it comes back. A watch that doesn't
    // go on by itself leaves this process on the old profile for good.
    const store = await startStore(t)
    const client = clientOf(t, store.url, 100)
    const writer = clientOf(t, store.url)
    const follower = new Follower()
    const watch = client.watch('profiles/', 0, follower)
    t.true((await writer.compareAndSwap('profiles/a', 0, 'one')).isOk())
    await eventually('the first change', () => follower.values.get('profiles/a') === 'one')
    store.standIn.control({ outage })
    await eventually('the outage is seen', async () => {
      await client.get('profiles/a')
      return follower.reachable.includes(false)
    })
    store.standIn.control({ outage: 'none' })
    const revision = await eventually('the store is back', async () => (await client.get('profiles/a')).unwrapOr(undefined)?.modRevision)
    t.true((await writer.compareAndSwap('profiles/a', revision, 'two')).isOk())
    await eventually('the second change', () => follower.values.get('profiles/a') === 'two')
    t.deepEqual(follower.reachable, [false, true])
    watch.dispose()
    await eventually('no watch waits', () => waitingWatches(store.standIn) === 0)
  })
}

test('a watch whose history is gone starts over from the whole range', async (t) => {
  // A process is cut off for long while many profiles change and one is deleted. Had it only the changes that the
  // store still remembers, it would keep the deleted profile in force.
  const store = await startStore(t)
  store.standIn.control({ historyLength: 2 })
  const writer = clientOf(t, store.url)
  const gone = (await writer.compareAndSwap('profiles/gone', 0, 'x'))._unsafeUnwrap()
  const follower = new Follower()
  follower.values.set('profiles/gone', 'x')
  t.true((await writer.compareAndSwap('profiles/gone', gone, undefined)).isOk())
  for (let index = 0; index < 6; index += 1) {
    t.true((await writer.compareAndSwap(`profiles/${index}`, 0, 'x')).isOk())
  }
  clientOf(t, store.url).watch('profiles/', gone, follower)
  await eventually('the range', () => follower.resets === 1)
  t.is(follower.values.size, 6)
  t.false(follower.values.has('profiles/gone'))
  t.true((await writer.compareAndSwap('profiles/late', 0, 'x')).isOk())
  await eventually('later changes', () => follower.values.has('profiles/late'))
})

test('a watch of a store that has lost its past starts over', async (t) => {
  // The platform restores its store from an older copy, whose revisions count from below ours. A watch that waits for
  // a revision above its last one would stay silent until the store has caught up.
  const store = await startStore(t)
  const follower = new Follower()
  const client = clientOf(t, store.url)
  client.watch('profiles/', 1000, follower)
  await eventually('the watch waits', () => waitingWatches(store.standIn) === 1)
  t.true((await clientOf(t, store.url).compareAndSwap('profiles/a', 0, 'one')).isOk())
  store.server.cut()
  await eventually('the watch polls again', () => waitingWatches(store.standIn) === 1)
  t.true((await client.compareAndSwap('profiles/b', 0, 'one')).isOk())
  await eventually('the range', () => follower.values.size === 2)
})
