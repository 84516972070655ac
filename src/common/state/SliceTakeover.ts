/**
 * Takes over an id shard's log as a new owner: it raises the epoch in the head first and reads the segments after that. Once the
 * head is written, the next commit of a paused old owner conflicts, so nothing can be added to what is read.
 */

import { err, ok } from 'neverthrow'
import { FencedError, InvalidInputError } from '../Errors.js'
import { decodeHead, decodeSegment } from './SliceCodec.js'
import { headKey, segmentPrefix } from './SliceKeys.js'
import { summariseEntries } from './SliceLog.js'

import type { Result } from 'neverthrow'
import type { ISealedSegment, ISliceStart } from './SliceLogTypes.js'
import type { ISliceHead, IStoreWrite, SliceEntry } from './Types.js'

/** A record as the store returns it. */
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
  /** All entries of the log, oldest first. */
  readonly entries: readonly SliceEntry[]
}

export interface ISliceClaimant {
  readonly shardId: string
  readonly owner: string
  readonly epoch: number
}

/** Builds the write that raises the epoch in the head. Returns a `FencedError` if a newer owner has raised it already. */
export function buildTakeoverWrite (
  claimant: ISliceClaimant, nonce: string, found: IReadRecord | undefined
): Result<ITakeoverWrite, FencedError | InvalidInputError> {
  const key = headKey(claimant.shardId)
  const before: Result<ISliceHead | undefined, InvalidInputError> = found === undefined ? ok(undefined) : decodeHead(key, found.value)
  return before.andThen((old): Result<ITakeoverWrite, FencedError> => {
    if (old !== undefined && old.epoch > claimant.epoch) return err(new FencedError('slice.takeOver', key, old.epoch))
    const head: ISliceHead = {
      epoch: claimant.epoch, owner: claimant.owner, nonce, segments: old?.segments ?? [], entries: old?.entries ?? []
    }
    return ok({ key, expectedModRevision: found?.modRevision ?? 0, value: JSON.stringify(head), head })
  })
}

/** Assembles the log from the head that was written and the segments that were read after it. */
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
    segments.push({ name, modRevision: read.value.modRevision, ...summariseEntries(read.value.entries) })
    entries.push(...read.value.entries)
  }
  const garbage = records.filter((record) => !head.segments.includes(record.key.slice(prefix.length)))
  return ok({ start: { head, modRevision, segments, garbage }, entries: [...entries, ...head.entries] })
}

interface ISegmentRead {
  readonly entries: readonly SliceEntry[]
  readonly modRevision: number
}

function readSegment (key: string, record: IReadRecord | undefined): Result<ISegmentRead, InvalidInputError> {
  if (record === undefined) return err(new InvalidInputError('slice.recover', key, 'segment', 'listed in the head but absent'))
  return decodeSegment(key, record.value).map(({ entries }) => ({ entries, modRevision: record.modRevision }))
}
