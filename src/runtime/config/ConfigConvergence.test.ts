import test from 'ava'
import fc from 'fast-check'
import { ScriptedStore } from '../../../test/support/ScriptedStore.js'
import { SystemClock } from '../../common/Clock.js'
import { AmbiguousError } from '../../common/Errors.js'
import { decodeEntry } from '../../common/config/ConfigCodec.js'
import { ConfigReplica } from '../../common/config/ConfigReplica.js'
import { URGENT_PROFILE } from '../../common/config/DefaultProfiles.js'
import { ConfigEditor } from './ConfigEditor.js'

import type { ExecutionContext } from 'ava'
import type { IConfigEntry } from '../../common/config/Types.js'
import type { StoreFault } from '../../../test/support/ScriptedStore.js'

const SEED = 20_261_202
const NAMES = ['a', 'b']

interface IEdit {
  readonly name: string
  /** How many revisions the author's view lags behind. */
  readonly behind: number
  readonly isDelete: boolean
  readonly faults: ReadonlyArray<StoreFault | undefined>
}

const FAULT = fc.constantFrom<StoreFault | undefined>(undefined, undefined, 'answerLost', 'requestLost', 'late', 'unreachable')
const EDIT = fc.record<IEdit>({
  name: fc.constantFrom(...NAMES),
  behind: fc.constantFrom(0, 0, 0, 1),
  isDelete: fc.boolean(),
  faults: fc.array(FAULT, { maxLength: 6 })
})

async function runEdits (store: ScriptedStore, edits: readonly IEdit[]) {
  let nonces = 0
  const editor = new ConfigEditor(store, new ConfigReplica(), new SystemClock(), {
    newNonce: () => `n${++nonces}`, retryPauseMs: 0, maxAttempts: 2, maxHistory: 50
  })
  const accepted: IConfigEntry[] = []
  const refusedNonces: string[] = []
  for (const { name, behind, isDelete, faults } of edits) {
    const current = (await editor.readCurrent('profile', name))._unsafeUnwrap()
    store.writeFaults = [...faults]
    const noncesBefore = nonces
    const target = { kind: 'profile', name, seenRevision: (current?.revision ?? 0) - behind, writer: 'w' } as const
    const result = await (isDelete ? editor.delete(target) : editor.put(target, { ...URGENT_PROFILE, name }))
    store.deliverLate()
    if (result.isOk()) accepted.push(result.value)
    else if (!(result.error instanceof AmbiguousError) && nonces > noncesBefore) refusedNonces.push(`n${nonces}`)
  }
  store.writeFaults = []
  return { editor, accepted, refusedNonces }
}

/** Reference implementation: sorts all entries, and returns the one with the highest revision of each name. */
function newestByName (entries: readonly IConfigEntry[]): readonly IConfigEntry[] {
  return NAMES.flatMap(name => entries.filter(entry => entry.name === name).sort((a, b) => b.revision - a.revision).slice(0, 1))
}

// Operators edit concurrently, the store loses responses and writes, and processes receive entries repeatedly and in any order.
// A process that returned to an earlier revision would undo an accepted change for the callers that it serves.
test('accepted changes are in the store, and all replicas converge to them in any order of delivery', async t => {
  await fc.assert(fc.asyncProperty(fc.array(EDIT, { maxLength: 12 }), fc.infiniteStream(fc.nat()), async (edits, nextRandom) => {
    const store = new ScriptedStore()
    const { editor, accepted, refusedNonces } = await runEdits(store, edits)
    const all = (await Promise.all(NAMES.map(async name => (await editor.readHistory('profile', name))._unsafeUnwrap()))).flat()
    for (const entry of accepted) t.true(all.some(kept => kept.name === entry.name && kept.nonce === entry.nonce), entry.nonce)
    for (const nonce of refusedNonces) t.false(all.some(kept => kept.nonce === nonce), `${nonce} was refused`)
    for (const name of NAMES) {
      const revisions = all.filter(entry => entry.name === name).map(entry => entry.revision)
      t.deepEqual(revisions, revisions.map((_, index) => index + 1), 'revisions are consecutive and unique')
    }
    const replicas = [0, 1, 2].map(() => new ConfigReplica())
    for (const replica of replicas) deliver(t, replica, all, () => nextRandom.next().value)
    const stored = [...store.records.values()].filter(record => record.key.startsWith('config/'))
    const expected = newestByName(stored.map(record => decodeEntry(record.key, record.value)._unsafeUnwrap()))
    t.deepEqual(newestByName(all), expected)
    for (const replica of replicas) {
      t.deepEqual(newestByName(replica.entries()), expected)
      t.true(replica.digest() === replicas[0]?.digest())
    }
  }), { seed: SEED, numRuns: 200 })
})

function deliver (t: ExecutionContext, replica: ConfigReplica, all: readonly IConfigEntry[], nextRandom: () => number): void {
  const deliveries = [...all, ...all].map(entry => ({ entry, order: nextRandom() })).sort((a, b) => a.order - b.order)
  const seen: IConfigEntry[] = []
  for (const { entry } of deliveries) {
    const before = replica.get('profile', entry.name)?.revision ?? 0
    replica.apply([entry])
    seen.push(entry)
    const expectedRevision = Math.max(...seen.filter(other => other.name === entry.name).map(other => other.revision))
    t.is(replica.get('profile', entry.name)?.revision, expectedRevision)
    t.is(Math.max(before, expectedRevision), expectedRevision)
  }
}

test('the digest differs if any revision differs', t => {
  const entry = { kind: 'profile', name: 'a', deleted: true, writer: 'w', nonce: 'n', changedAt: 0 } as const
  const digests = new Set<string>()
  for (let revision = 1; revision <= 2000; revision++) {
    const replica = new ConfigReplica()
    replica.apply([{ ...entry, revision }, { ...entry, name: 'b', revision: 2001 - revision }])
    digests.add(replica.digest())
  }
  t.is(digests.size, 2000)
})
