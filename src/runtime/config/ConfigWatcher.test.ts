import test from 'ava'
import { ScriptedStore } from '../../../test/support/ScriptedStore.js'
import { ManualClock } from '../../common/Clock.js'
import { ConfigReplica } from '../../common/config/ConfigReplica.js'
import { URGENT_PROFILE } from '../../common/config/DefaultProfiles.js'
import { SilentLogger } from '../../common/observability/SilentLogger.js'
import { ConfigEditor, EDITOR_DEFAULTS } from './ConfigEditor.js'
import { ConfigWatcher } from './ConfigWatcher.js'
import { DefaultsSeeder } from './DefaultsSeeder.js'

import type { IConfigEntry } from '../../common/config/Types.js'

const PEER_ENTRY: IConfigEntry = {
  kind: 'profile', name: 'urgent', revision: 4, deleted: false, value: URGENT_PROFILE, writer: 'w', nonce: 'n', changedAt: 0
}

function setUp (peerEntries: readonly IConfigEntry[] = []) {
  const store = new ScriptedStore()
  const clock = new ManualClock()
  const replica = new ConfigReplica()
  const options = { retryMs: 100, fetchPeerEntries: async () => peerEntries }
  const watcher = new ConfigWatcher(store, replica, clock, new SilentLogger(), options)
  const seeder = new DefaultsSeeder(store, replica, clock, new SilentLogger(), 'gateway-1')
  const editor = new ConfigEditor(store, replica, clock, { ...EDITOR_DEFAULTS, newNonce: () => 'n' })
  return { store, clock, replica, watcher, seeder, editor }
}

test('the default profiles are created in a new cell, and edits reach the replica', async t => {
  const { replica, watcher, seeder, editor, store } = setUp()
  const applied: string[] = []
  watcher.onApplied(entries => applied.push(...entries.map(entry => `${entry.name}@${entry.revision}`)))
  await watcher.start()
  await seeder.seed()
  t.deepEqual(applied, ['urgent@1', 'patient@1', 'all-at-once@1'])
  await editor.put({ kind: 'profile', name: 'urgent', seenRevision: 1, writer: 'ann' }, { ...URGENT_PROFILE, weight: 5 })
  t.is(replica.profile('urgent')?.profile.weight, 5)
  await editor.delete({ kind: 'profile', name: 'patient', seenRevision: 1, writer: 'ann' })
  t.is(replica.profile('patient'), undefined)
  const calls = store.callCount
  await seeder.seed()
  t.is(store.callCount, calls)
})

// A host is replaced during an outage of the store. Without its peers, the new process would have no profile and refuse
// every request until the store is available again.
test('a process that starts during an outage reads the configuration from its peers, and later from the store', async t => {
  const { store, clock, replica, watcher, seeder } = setUp([PEER_ENTRY, { ...PEER_ENTRY, name: 'Bad Name' }])
  store.isDown = true
  await watcher.start()
  t.is(replica.profile('urgent')?.revision, 4)
  t.is(replica.entries().length, 1)
  store.isDown = false
  await seeder.seed()
  clock.advance(100)
  await new Promise(resolve => { watcher.onApplied(resolve) })
  t.is(replica.profile('patient')?.revision, 1)
  t.is(replica.profile('urgent')?.revision, 4)
})

// Another program writes malformed entries to the store or removes a key. If the process applied such a change, callers
// would lose the profile.
test('the last valid revision stays in force after malformed entries and removed keys', async t => {
  const { store, replica, watcher, seeder } = setUp()
  await watcher.start()
  await seeder.seed()
  const key = 'config/profile/urgent'
  const revisionOf = () => store.records.get(key)?.modRevision ?? 0
  for (const value of ['not json', '{"kind":"profile"}', undefined]) await store.compareAndSwap(key, revisionOf(), value)
  t.is(replica.profile('urgent')?.revision, 1)
  watcher.dispose()
})
