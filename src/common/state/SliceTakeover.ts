/**
 * How a new owner takes an id shard's log over: raise the epoch in the head first, read the segments then. From the
 * moment the head is written, a paused old owner's next commit conflicts, so nothing can be added to what is read.
 */

import { err, ok } from 'neverthrow'
import { FencedError, InvalidInputError } from '../Errors.js'
import { decodeHead, decodeSegment } from './SliceCodec.js'
import { headKey, segmentPrefix } from './SliceKeys.js'
import { summarise } from './SliceLog.js'

import type { Result } from 'neverthrow'
import type { ISealedSegment, ISliceStart } from './SliceLogTypes.js'
import type { ISliceHead, IStoreWrite, SliceEntry } from './Types.js'

/** A record as the store gives it. */
export interface IReadRecord {
  readonly key: string
  readonly value: string
  readonly modRevision: number
}

export interface ITakeoverWrite extends IStoreWrite {
  readonly head: ISliceHead
}

export interface IRecoveredSlice {
  readonly start: ISliceStart
  /** Everything in the log, oldest first. */
  readonly entries: readonly SliceEntry[]
}

export interface ISliceClaimant {
  readonly shardId: string
  readonly owner: string
  readonly epoch: number
}

/** The write that raises the epoch in the head. `FencedError`: a newer owner has been there. */
export function takeoverWrite (
  by: ISliceClaimant, nonce: string, found: IReadRecord | undefined
): Result<ITakeoverWrite, FencedError | InvalidInputError> {
  const key = headKey(by.shardId)
  const before: Result<ISliceHead | undefined, InvalidInputError> = found === undefined ? ok(undefined) : decodeHead(key, found.value)
  return before.andThen((old): Result<ITakeoverWrite, FencedError> => {
    if (old !== undefined && old.epoch > by.epoch) return err(new FencedError('slice.takeOver', key, old.epoch))
    const head: ISliceHead = {
      epoch: by.epoch, owner: by.owner, nonce, segments: old?.segments ?? [], entries: old?.entries ?? []
    }
    return ok({ key, expectedModRevision: found?.modRevision ?? 0, value: JSON.stringify(head), head })
  })
}

/** Puts the log together from the head that was written and the segments that were read after it. */
export function recoverSlice (
  shardId: string, head: ISliceHead, modRevision: number, records: readonly IReadRecord[]
): Result<IRecoveredSlice, InvalidInputError> {
  const prefix = segmentPrefix(shardId)
  const byName = new Map(records.map((record) => [record.key.slice(prefix.length), record]))
  const segments: ISealedSegment[] = []
  const entries: SliceEntry[] = []
  for (const name of head.segments) {
    const read = readSegment(prefix + name, byName.get(name))
    if (read.isErr()) return err(read.error)
    segments.push({ name, modRevision: read.value.modRevision, ...summarise(read.value.entries) })
    entries.push(...read.value.entries)
  }
  const garbage = records.filter((record) => !head.segments.includes(record.key.slice(prefix.length)))
  return ok({ start: { head, modRevision, segments, garbage }, entries: [...entries, ...head.entries] })
}

interface IReadSegment {
  readonly entries: readonly SliceEntry[]
  readonly modRevision: number
}

function readSegment (key: string, record: IReadRecord | undefined): Result<IReadSegment, InvalidInputError> {
  if (record === undefined) return err(new InvalidInputError('slice.recover', key, 'segment', 'listed in the head but absent'))
  return decodeSegment(key, record.value).map(({ entries }) => ({ entries, modRevision: record.modRevision }))
}
