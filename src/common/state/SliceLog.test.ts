/**
 * Compares an id shard's log with a naive version, over long random runs with outages, lost answers, delayed requests and changes
 * of owner. The naive version is a list: an entry that was reported durable stays in it for good, and one that was reported
 * dropped never appears.
 */

import test from 'ava'
import fc from 'fast-check'
import { headKey, segmentPrefix } from './SliceKeys.js'
import { SliceLog } from './SliceLog.js'
import { recoverSlice, buildTakeoverWrite } from './SliceTakeover.js'
import { decodeHead } from './SliceCodec.js'

import type { SliceProgress } from './SliceLogTypes.js'
import type { IReadRecord } from './SliceTakeover.js'
import type { IStoreWrite, SliceEntry, WriteOutcome } from './Types.js'

const SHARD = 'ids/00'
const SEED = 20_261
const RETENTION_MS = 1_000

/** A minimal in-memory store. */
class FakeStore {
  public readonly records = new Map<string, IReadRecord>()
  private _revision = 0

  public swap (write: IStoreWrite): { outcome: WriteOutcome, modRevision: number } {
    if ((this.records.get(write.key)?.modRevision ?? 0) !== write.expectedModRevision) return { outcome: 'conflict', modRevision: 0 }
    this._revision += 1
    if (write.value === undefined) this.records.delete(write.key)
    else this.records.set(write.key, { key: write.key, value: write.value, modRevision: this._revision })
    return { outcome: 'ok', modRevision: this._revision }
  }
}

class Run {
  private readonly _store = new FakeStore()
  private readonly _delayedWrites: IStoreWrite[] = []
  private readonly _durable: string[] = []
  private readonly _dropped = new Set<string>()
  /** The logs of all owners so far. An earlier owner keeps writing, as a paused process does when it resumes. */
  private readonly _logs: (SliceLog | undefined)[] = []
  private _count = 0
  private _nonces = 0

  public takeOver (): void {
    const epoch = this._logs.length + 1
    const by = { shardId: SHARD, owner: `o${epoch}`, epoch }
    const write = buildTakeoverWrite(by, this._nonce(), this._store.records.get(headKey(SHARD)))._unsafeUnwrap()
    const { modRevision } = this._store.swap(write)
    const segments = [...this._store.records.values()].filter(({ key }) => key.startsWith(segmentPrefix(SHARD)))
    const recovered = recoverSlice(SHARD, write.head, modRevision, segments)._unsafeUnwrap()
    this._check(recovered.entries.map(keyOf))
    const options = { ...by, sealBytes: 400, maxCommitBytes: 300, retentionMs: RETENTION_MS }
    this._logs.push(new SliceLog(options, () => this._nonce(), recovered.start))
  }

  public append (owner: number): void {
    const log = this._log(owner)
    this._count += 1
    log?.append({ type: 'block', key: `e${this._count}`, attemptId: 'a', at: 0 })
  }

  public write (owner: number, fault: 'none' | 'down' | 'answerLost' | 'delayed' | 'never'): void {
    const log = this._log(owner)
    const write = log?.nextWrite()
    if (log === undefined || write === undefined) return
    if (fault === 'delayed') this._delayedWrites.push(write)
    const done = fault === 'none' || fault === 'answerLost' ? this._store.swap(write) : undefined
    if (fault === 'none' && done !== undefined) this._handle(owner, log.reportWrite(done.outcome, done.modRevision))
    else this._handle(owner, log.reportWrite(fault === 'down' ? 'nothing' : 'ambiguous'))
  }

  public deliverDelayedWrite (): void {
    const write = this._delayedWrites.shift()
    if (write !== undefined) this._store.swap(write)
  }

  /** Delivers the delayed writes and reads the whole log as a new owner would. */
  public finish (): void {
    while (this._delayedWrites.length > 0) this.deliverDelayedWrite()
    this.takeOver()
  }

  private _log (owner: number): SliceLog | undefined {
    return this._logs[this._logs.length - 1 - owner]
  }

  private _nonce (): string {
    this._nonces += 1
    return `n${this._nonces}`
  }

  private _handle (owner: number, progress: SliceProgress): void {
    if (progress.type === 'committed') this._durable.push(...progress.entries.map(keyOf))
    if (progress.type === 'dropped') for (const entry of progress.entries) this._dropped.add(keyOf(entry))
    if (progress.type === 'lost') this._logs[this._logs.length - 1 - owner] = undefined
    if (progress.type === 'readBack') this._readBack(owner)
  }

  private _readBack (owner: number): void {
    const record = this._store.records.get(headKey(SHARD))
    const head = record === undefined ? undefined : decodeHead(record.key, record.value)._unsafeUnwrap()
    const progress = this._log(owner)?.reportHead(head, record?.modRevision ?? 0)
    if (progress !== undefined) this._handle(owner, progress)
  }

  private _check (read: readonly string[]): void {
    const seen = new Set(read)
    if (seen.size !== read.length) throw new Error(`an entry occurs twice: ${read.join()}`)
    const missing = this._durable.filter((key) => !seen.has(key))
    if (missing.length > 0) throw new Error(`reported durable but missing: ${missing.join()}`)
    const back = read.filter((key) => this._dropped.has(key))
    if (back.length > 0) throw new Error(`reported dropped but present: ${back.join()}`)
  }
}

function keyOf (entry: SliceEntry): string {
  return entry.type === 'block' ? entry.key : ''
}

type Command =
  | { readonly type: 'append' | 'takeOver' | 'arrive', readonly owner: number }
  | { readonly type: 'write', readonly owner: number, readonly fault: Parameters<Run['write']>[1] }

/** Mostly the present owner, sometimes one that has been superseded. */
const owner = fc.oneof({ weight: 5, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.constantFrom(1, 2) })
const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('append' as const), owner }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('write' as const), owner, fault: fc.constantFrom('none' as const, 'none' as const, 'down' as const, 'answerLost' as const, 'delayed' as const, 'never' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constantFrom('takeOver' as const, 'arrive' as const), owner }) }
)

function runCommands (commands: readonly Command[]): void {
  const run = new Run()
  run.takeOver()
  for (const each of commands) {
    if (each.type === 'append') run.append(each.owner)
    if (each.type === 'takeOver') run.takeOver()
    if (each.type === 'arrive') run.deliverDelayedWrite()
    if (each.type === 'write') run.write(each.owner, each.fault)
  }
  run.finish()
}

test('entries reported durable are present and entries reported dropped are not, whatever failed', (t) => {
  fc.assert(fc.property(fc.array(command, { maxLength: 200 }), runCommands), { seed: SEED, numRuns: 500 })
  t.pass()
})

test('a damaged head or segment gives an error instead of a crash', (t) => {
  const text = JSON.stringify({ epoch: 1, owner: 'o', nonce: 'n', segments: ['1-0'], entries: [{ type: 'block', key: 'k', attemptId: 'a', at: 0 }] })
  const damage = fc.record({ at: fc.nat(text.length - 1), cut: fc.nat(20), put: fc.string({ maxLength: 5 }) })
  fc.assert(fc.property(damage, ({ at, cut, put }) => {
    const value = text.slice(0, at) + put + text.slice(at + cut)
    const found = { key: headKey(SHARD), value, modRevision: 1 }
    const taken = buildTakeoverWrite({ shardId: SHARD, owner: 'p', epoch: 2 }, 'm', found)
    const read = taken.andThen((write) => recoverSlice(SHARD, write.head, 2, [{ key: `${segmentPrefix(SHARD)}1-0`, value, modRevision: 1 }]))
    if (read.isErr() && !read.error.message.includes('slices/')) throw new Error(`the error doesn't name the key: ${read.error.message}`)
  }), { seed: SEED, numRuns: 2_000 })
  t.pass()
})
