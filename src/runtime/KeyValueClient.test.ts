/**
 * Tests the client of the key-value service against the stand-in, with lost responses, outages and a truncated history.
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

/** Replicates the store's contents from the calls of a watch. */
class WatchReplica implements IStoreWatchListener {
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

  public onReachabilityChange (reachable: boolean): void {
    this.reachable.push(reachable)
  }
}

function waitingWatches (store: KeyValueStandIn): number {
  return (store.dump() as { waitingWatches: number }).waitingWatches
}

test('a compare-and-swap with an old revision is a conflict', async (t) => {
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

test('a key is removed with its lease, and an expired lease can\'t be renewed', async (t) => {
  const store = await startStore(t)
  const client = clientOf(t, store.url)
  const leaseId = (await client.grantLease(60_000))._unsafeUnwrap()
  t.true((await client.compareAndSwap('members/a', 0, 'here', leaseId)).isOk())
  t.true((await client.keepAlive(leaseId)).isOk())
  store.standIn.expireAllLeases()
  await eventually('the key is gone', async () => (await client.get('members/a'))._unsafeUnwrap() === undefined)
  t.is((await client.keepAlive(leaseId))._unsafeUnwrapErr().constructor, RefusedError)
})

test('a write whose response is lost is ambiguous, and has taken effect', async (t) => {
  // The store applies the change of a profile and its response is lost. If the write counted as failed, the operator would
  // be told that the change was not made, although it is in force.
  const store = await startStore(t)
  store.standIn.control({ loseAnswers: 1 })
  const client = clientOf(t, store.url)
  t.true((await client.compareAndSwap('profiles/a', 0, 'one'))._unsafeUnwrapErr() instanceof AmbiguousError)
  t.is((await client.get('profiles/a'))._unsafeUnwrap()?.value, 'one')
})

test('the error of a call depends on the kind of the outage', async (t) => {
  // If the store refuses connections, a write has not taken effect for certain. If the store hangs or closes the connection,
  // a write may have taken effect; a read never has an effect.
  const store = await startStore(t)
  const client = clientOf(t, store.url, 100)
  store.standIn.control({ outage: 'refuse' })
  t.true((await client.compareAndSwap('a', 0, '1'))._unsafeUnwrapErr() instanceof UnreachableError)
  store.standIn.control({ outage: 'hang' })
  await eventually('the listener is back', async () => (await client.compareAndSwap('a', 0, '1'))._unsafeUnwrapErr() instanceof AmbiguousError)
  t.true((await client.get('a'))._unsafeUnwrapErr() instanceof UnreachableError)
  t.false(client.isReachable)
  store.standIn.control({ outage: 'reset' })
  t.true((await client.compareAndSwap('a', 0, '1'))._unsafeUnwrapErr() instanceof AmbiguousError)
  store.standIn.control({ outage: 'none' })
  t.true(await eventually('a read succeeds', async () => (await client.get('a')).isOk()))
  t.true(client.isReachable)
})

test('writes beyond the rate limit of the store are refused', async (t) => {
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
  test(`a watch continues after an outage: ${outage}`, async (t) => {
    // The store is unavailable for a while, and an operator changes a profile just after it is available again. If the watch
    // did not continue, this process would keep the old profile.
    const store = await startStore(t)
    const client = clientOf(t, store.url, 100)
    const writer = clientOf(t, store.url)
    const replica = new WatchReplica()
    const watch = client.watch('profiles/', 0, replica)
    t.true((await writer.compareAndSwap('profiles/a', 0, 'one')).isOk())
    await eventually('the first change', () => replica.values.get('profiles/a') === 'one')
    store.standIn.control({ outage })
    await eventually('the outage is detected', async () => {
      await client.get('profiles/a')
      return replica.reachable.includes(false)
    })
    store.standIn.control({ outage: 'none' })
    const revision = await eventually('the store is back', async () => (await client.get('profiles/a')).unwrapOr(undefined)?.modRevision)
    t.true((await writer.compareAndSwap('profiles/a', revision, 'two')).isOk())
    await eventually('the second change', () => replica.values.get('profiles/a') === 'two')
    t.deepEqual(replica.reachable, [false, true])
    watch.dispose()
    await eventually('no watch is waiting', () => waitingWatches(store.standIn) === 0)
  })
}

test('a watch whose history is gone reads the whole range again', async (t) => {
  // A process is disconnected for a long time, while many profiles change and one is deleted. With only the changes that
  // the store still has, the process would keep applying the deleted profile.
  const store = await startStore(t)
  store.standIn.control({ historyLength: 2 })
  const writer = clientOf(t, store.url)
  const gone = (await writer.compareAndSwap('profiles/gone', 0, 'x'))._unsafeUnwrap()
  const replica = new WatchReplica()
  replica.values.set('profiles/gone', 'x')
  t.true((await writer.compareAndSwap('profiles/gone', gone, undefined)).isOk())
  for (let index = 0; index < 6; index += 1) {
    t.true((await writer.compareAndSwap(`profiles/${index}`, 0, 'x')).isOk())
  }
  clientOf(t, store.url).watch('profiles/', gone, replica)
  await eventually('the range is read', () => replica.resets === 1)
  t.is(replica.values.size, 6)
  t.false(replica.values.has('profiles/gone'))
  t.true((await writer.compareAndSwap('profiles/late', 0, 'x')).isOk())
  await eventually('later changes are seen', () => replica.values.has('profiles/late'))
})

test('a watch reads the whole range again after the store is restored from an older copy', async (t) => {
  // The revisions of the older copy are below the last revision that the watch has seen. A watch that waits for a higher
  // revision would report no changes until the store has reached that revision.
  const store = await startStore(t)
  const replica = new WatchReplica()
  const client = clientOf(t, store.url)
  client.watch('profiles/', 1000, replica)
  await eventually('the watch is waiting', () => waitingWatches(store.standIn) === 1)
  t.true((await clientOf(t, store.url).compareAndSwap('profiles/a', 0, 'one')).isOk())
  store.server.cutConnections()
  await eventually('the watch polls again', () => waitingWatches(store.standIn) === 1)
  t.true((await client.compareAndSwap('profiles/b', 0, 'one')).isOk())
  await eventually('the range is read', () => replica.values.size === 2)
})
