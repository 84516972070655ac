import test from 'ava'
import { ScriptedStore } from '../../../test/support/ScriptedStore.js'
import { SystemClock } from '../../common/Clock.js'
import { AmbiguousError, InvalidInputError } from '../../common/Errors.js'
import { ConfigReplica } from '../../common/config/ConfigReplica.js'
import { URGENT_PROFILE } from '../../common/config/DefaultProfiles.js'
import type { ConfigConflictError } from './ConfigConflictError.js'
import { ConfigEditor } from './ConfigEditor.js'

import type { StoreError } from '../Types.js'
import type { IEditTarget } from './ConfigEditor.js'

function setUp (maxHistory = 50) {
  const store = new ScriptedStore()
  let nonces = 0
  const options = { newNonce: () => `n${++nonces}`, retryPauseMs: 1, maxAttempts: 3, maxHistory }
  const replica = new ConfigReplica()
  return { store, replica, editor: new ConfigEditor(store, replica, new SystemClock(), options) }
}

function urgent (seenRevision: number, writer = 'ann'): IEditTarget {
  return { kind: 'profile', name: 'urgent', seenRevision, writer }
}

test('puts, deletions and rollbacks increment the revision, and the history contains each revision', async t => {
  const { editor } = setUp()
  await editor.put(urgent(0), URGENT_PROFILE)
  await editor.put(urgent(1), { ...URGENT_PROFILE, weight: 2 })
  await editor.delete(urgent(2))
  const back = (await editor.rollback(urgent(3), 1))._unsafeUnwrap()
  t.is(back.revision, 4)
  t.deepEqual(back.value, URGENT_PROFILE)
  const history = (await editor.readHistory('profile', 'urgent'))._unsafeUnwrap()
  t.deepEqual(history.map(entry => [entry.revision, entry.deleted]), [[1, false], [2, false], [3, true], [4, false]])
  t.true((await editor.rollback(urgent(4), 9)).isErr())
  t.true((await editor.delete({ ...urgent(0), name: 'never-there' })).isErr())
})

test('the history is bounded', async t => {
  const { editor } = setUp(3)
  for (let revision = 0; revision < 9; revision++) await editor.put(urgent(revision), URGENT_PROFILE)
  const history = (await editor.readHistory('profile', 'urgent'))._unsafeUnwrap()
  t.deepEqual(history.map(entry => entry.revision), [7, 8, 9])
})

// Two operators open the same profile, and both save it. The second one must not overwrite the first one's change unseen:
// the edit fails with a conflict, which contains the current entry.
test('of two concurrent edits one is accepted, and the conflict of the other one contains the accepted entry', async t => {
  const { store, editor } = setUp()
  await editor.put(urgent(0), URGENT_PROFILE)
  let race: Promise<unknown> | undefined
  store.beforeWrite = () => {
    store.beforeWrite = undefined
    race = Promise.resolve(editor.put(urgent(1, 'bob'), { ...URGENT_PROFILE, weight: 7 }))
  }
  const results = [await editor.put(urgent(1, 'ann'), { ...URGENT_PROFILE, weight: 3 })]
  await race
  results.push(await editor.put(urgent(1, 'eve'), URGENT_PROFILE))
  const lost = results.filter(result => result.isErr()).map(result => result._unsafeUnwrapErr())
  const current = (await editor.readCurrent('profile', 'urgent'))._unsafeUnwrap()
  t.is(current?.revision, 2)
  t.true(lost.length >= 1)
  for (const error of lost) t.deepEqual((error as ConfigConflictError).current, current)
})

// The store applies the change, and its response is lost. If the edit counted as failed, the operator would see the change in
// force a second later. The editor reads the entry back, finds its own nonce and reports the change as accepted.
test('a change that took effect is accepted although the response is lost', async t => {
  const { store, editor } = setUp()
  store.writeFaults = ['answerLost']
  t.is((await editor.put(urgent(0), URGENT_PROFILE))._unsafeUnwrap().revision, 1)
})

// The store loses the response to every write for a while, including writes of the history.
test('an edit is accepted while every response to a write is lost', async t => {
  const { store, editor } = setUp()
  await editor.put(urgent(0), URGENT_PROFILE)
  store.writeFaults = ['answerLost', 'answerLost', 'answerLost', 'answerLost', 'answerLost', 'answerLost']
  t.is((await editor.put(urgent(1), URGENT_PROFILE))._unsafeUnwrap().revision, 2)
})

// The write itself is lost, or arrives only after the editor has repeated it. The change takes effect once: the operator gets
// one revision, not two.
test('a lost or late write is repeated and takes effect once', async t => {
  const { store, editor } = setUp()
  store.writeFaults = ['requestLost', 'late', undefined]
  t.is((await editor.put(urgent(0), URGENT_PROFILE))._unsafeUnwrap().revision, 1)
  store.deliverLate()
  t.is((await editor.readCurrent('profile', 'urgent'))._unsafeUnwrap()?.revision, 1)
})

// The response is lost, and another operator edits the item again before the editor reads it back. The first operator's change
// was in force, so a conflict would be wrong. The editor finds the change in the history.
test('a change that was superseded before it was read back is reported as accepted', async t => {
  const { store, editor } = setUp()
  store.writeFaults = ['answerLost']
  const get = store.get.bind(store)
  store.get = key => {
    if (store.records.size === 0) return get(key)
    store.get = get
    return editor.put(urgent(1, 'bob'), { ...URGENT_PROFILE, weight: 9 })
      .orTee(error => t.fail(error.message)).andThen(() => get(key)).mapErr(error => error as StoreError)
  }
  t.is((await editor.put(urgent(0, 'ann'), URGENT_PROFILE))._unsafeUnwrap().revision, 1)
  t.is((await editor.readCurrent('profile', 'urgent'))._unsafeUnwrap()?.writer, 'bob')
})

// The store becomes unavailable during an edit and stays unavailable. Neither "accepted" nor "refused" would be certain.
test('an edit that can not be read back is reported as ambiguous', async t => {
  const { store, editor } = setUp()
  store.writeFaults = ['answerLost', 'answerLost', 'answerLost']
  store.beforeWrite = () => { store.isDown = store.callCount > 3 }
  const get = store.get.bind(store)
  store.get = key => { store.isDown ||= store.records.size > 0; return get(key) }
  t.true((await editor.put(urgent(0), URGENT_PROFILE))._unsafeUnwrapErr() instanceof AmbiguousError)
})

// The store is unavailable from the start. Nothing was sent, and the operator is told that nothing was changed.
test('an edit is refused while the store is unreachable', async t => {
  const { store, editor } = setUp()
  store.isDown = true
  const error = (await editor.put(urgent(0), URGENT_PROFILE))._unsafeUnwrapErr()
  t.false(error instanceof AmbiguousError)
  t.is(store.records.size, 0)
})

test('an edit that would break a reference is refused', async t => {
  const { replica, editor } = setUp()
  const target = { kind: 'service', name: 'chip-lookup', seenRevision: 0, writer: 'ann' } as const
  const service = { name: 'chip-lookup', profile: 'urgent', team: 'recovery' }
  const missing = (await editor.put(target, service))._unsafeUnwrapErr()
  t.true(missing instanceof InvalidInputError && missing.field === 'profile, team')
  replica.apply([(await editor.put(urgent(0), URGENT_PROFILE))._unsafeUnwrap()])
  const team = { name: 'recovery', maxSlots: 1, maxCores: 1, maxAccelerators: 0 }
  replica.apply([(await editor.put({ ...target, kind: 'team', name: 'recovery' }, team))._unsafeUnwrap()])
  replica.apply([(await editor.put(target, service))._unsafeUnwrap()])
  const used = (await editor.delete(urgent(1)))._unsafeUnwrapErr()
  t.true(used.message.includes('is in use by chip-lookup'))
})
