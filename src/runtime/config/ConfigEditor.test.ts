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

test('revisions count up over puts, deletions and rollbacks, and the history keeps each', async t => {
  const { editor } = setUp()
  await editor.put(urgent(0), URGENT_PROFILE)
  await editor.put(urgent(1), { ...URGENT_PROFILE, weight: 2 })
  await editor.delete(urgent(2))
  const back = (await editor.rollback(urgent(3), 1))._unsafeUnwrap()
  t.is(back.revision, 4)
  t.deepEqual(back.value, URGENT_PROFILE)
  const history = (await editor.history('profile', 'urgent'))._unsafeUnwrap()
  t.deepEqual(history.map(entry => [entry.revision, entry.deleted]), [[1, false], [2, false], [3, true], [4, false]])
  t.true((await editor.rollback(urgent(4), 9)).isErr())
  t.true((await editor.delete({ ...urgent(0), name: 'never-there' })).isErr())
})

test('the history is bounded', async t => {
  const { editor } = setUp(3)
  for (let revision = 0; revision < 9; revision++) await editor.put(urgent(revision), URGENT_PROFILE)
  const history = (await editor.history('profile', 'urgent'))._unsafeUnwrap()
  t.deepEqual(history.map(entry => entry.revision), [7, 8, 9])
})

// Two operators open the same profile and both save. The second one must not undo the first one's change unseen: it
// is told that it lost and gets to see what stands there now.
test('of two racing edits one wins, and the other is shown the winner', async t => {
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
  const current = (await editor.current('profile', 'urgent'))._unsafeUnwrap()
  t.is(current?.revision, 2)
  t.true(lost.length >= 1)
  for (const error of lost) t.deepEqual((error as ConfigConflictError).current, current)
})

// The store makes the change and its answer is lost. An operator who is told "failed" would see the change in force
// a second later; the editor reads back, finds its own mark and says "accepted".
test('a lost answer after the change took effect is accepted', async t => {
  const { store, editor } = setUp()
  store.writeFaults = ['answerLost']
  t.is((await editor.put(urgent(0), URGENT_PROFILE))._unsafeUnwrap().revision, 1)
})

// The store loses the answer to every write for a while, those to the history included.
test('an edit is accepted while every answer to a write is lost', async t => {
  const { store, editor } = setUp()
  await editor.put(urgent(0), URGENT_PROFILE)
  store.writeFaults = ['answerLost', 'answerLost', 'answerLost', 'answerLost', 'answerLost', 'answerLost']
  t.is((await editor.put(urgent(1), URGENT_PROFILE))._unsafeUnwrap().revision, 2)
})

// The write itself is lost, or so slow that it arrives after it was repeated. The repeated one takes effect once:
// the operator gets one revision, not two.
test('a lost or late write is repeated and takes effect once', async t => {
  const { store, editor } = setUp()
  store.writeFaults = ['requestLost', 'late', undefined]
  t.is((await editor.put(urgent(0), URGENT_PROFILE))._unsafeUnwrap().revision, 1)
  store.deliverLate()
  t.is((await editor.current('profile', 'urgent'))._unsafeUnwrap()?.revision, 1)
})

// The answer is lost, and before the editor reads back a colleague has edited the accepted change further. The first
// operator's change was in force; being told "conflict" would be wrong, and the history proves it.
test('a change that was superseded before the read back is still known as accepted', async t => {
  const { store, editor } = setUp()
  store.writeFaults = ['answerLost']
  const get = store.get.bind(store)
  store.get = key => {
    if (store.records.size === 0) return get(key)
    store.get = get
    return editor.put(urgent(1, 'bob'), { ...URGENT_PROFILE, weight: 9 }).orTee(error => t.fail(error.message)).andThen(() => get(key)).mapErr(error => error as StoreError)
  }
  t.is((await editor.put(urgent(0, 'ann'), URGENT_PROFILE))._unsafeUnwrap().revision, 1)
  t.is((await editor.current('profile', 'urgent'))._unsafeUnwrap()?.writer, 'bob')
})

// The store goes down in the middle of an edit and stays down. Neither "accepted" nor "refused" would be true.
test('an edit that can not be read back is reported as ambiguous', async t => {
  const { store, editor } = setUp()
  store.writeFaults = ['answerLost', 'answerLost', 'answerLost']
  store.beforeWrite = () => { store.isDown = store.callCount > 3 }
  const get = store.get.bind(store)
  store.get = key => { store.isDown ||= store.records.size > 0; return get(key) }
  t.true((await editor.put(urgent(0), URGENT_PROFILE))._unsafeUnwrapErr() instanceof AmbiguousError)
})

// The store is down from the start: nothing was sent, and the operator is told that nothing was changed.
test('an unreachable store changes nothing', async t => {
  const { store, editor } = setUp()
  store.isDown = true
  const error = (await editor.put(urgent(0), URGENT_PROFILE))._unsafeUnwrapErr()
  t.false(error instanceof AmbiguousError)
  t.is(store.records.size, 0)
})

test('an edit that would leave a reference open is refused', async t => {
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
