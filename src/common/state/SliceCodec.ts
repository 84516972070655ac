/**
 * Decodes the stored JSON of an id shard's log and of shard records, and checks it: a value that another release or an operator
 * has damaged must give a clear error instead of a wrong decision.
 */

import { Result, err, ok } from 'neverthrow'
import { InvalidInputError } from '../Errors.js'

import type { ISliceHead, ISliceSegment, IShardRecord, SliceEntry } from './Types.js'

type Fields = Readonly<Record<string, unknown>>

const TEXT_FIELDS: Readonly<Record<SliceEntry['type'], readonly string[]>> = {
  claim: ['key', 'attemptId', 'holder'],
  block: ['key', 'attemptId'],
  release: ['key', 'attemptId'],
  job: [],
  jobEnd: ['jobId', 'state']
}

function parseFields (key: string, value: string): Result<Fields, InvalidInputError> {
  const parsed = Result.fromThrowable(() => JSON.parse(value) as unknown)()
  if (parsed.isErr() || !isFields(parsed.value)) return err(damaged(key, 'value', 'not a JSON object'))
  return ok(parsed.value)
}

function isFields (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function damaged (key: string, field: string, message: string): InvalidInputError {
  return new InvalidInputError('store.decode', key, field, message)
}

function firstNotOfType (fields: Fields, type: 'string' | 'number', names: readonly string[]): string | undefined {
  return names.find((name) => type === 'string' ? typeof fields[name] !== 'string' : typeof fields[name] !== 'number')
}

function isJob (value: unknown): boolean {
  return isFields(value) && typeof value.jobId === 'string' && Array.isArray(value.tasks)
}

function isEntry (value: unknown): value is SliceEntry {
  if (!isFields(value) || typeof value.at !== 'number' || typeof value.type !== 'string') return false
  if (!Object.hasOwn(TEXT_FIELDS, value.type)) return false
  if (value.type === 'job') return isJob(value.job)
  return firstNotOfType(value, 'string', TEXT_FIELDS[value.type as SliceEntry['type']]) === undefined
}

function checkEntries (key: string, entries: unknown): Result<readonly SliceEntry[], InvalidInputError> {
  if (!Array.isArray(entries)) return err(damaged(key, 'entries', 'not a list'))
  const bad = entries.findIndex((entry) => !isEntry(entry))
  return bad < 0 ? ok(entries as SliceEntry[]) : err(damaged(key, `entries[${bad}]`, 'not a log entry'))
}

/** Decodes the head of an id shard's log. */
export function decodeHead (key: string, value: string): Result<ISliceHead, InvalidInputError> {
  return parseFields(key, value).andThen((fields) => {
    const bad = firstNotOfType(fields, 'number', ['epoch']) ?? firstNotOfType(fields, 'string', ['owner', 'nonce'])
    if (bad !== undefined) return err(damaged(key, bad, 'missing or of the wrong type'))
    const { segments } = fields
    if (!Array.isArray(segments) || segments.some((name) => typeof name !== 'string')) {
      return err(damaged(key, 'segments', 'not a list of names'))
    }
    return checkEntries(key, fields.entries).map(() => fields as unknown as ISliceHead)
  })
}

/** Decodes a sealed segment. */
export function decodeSegment (key: string, value: string): Result<ISliceSegment, InvalidInputError> {
  return parseFields(key, value)
    .andThen((fields) => checkEntries(key, fields.entries))
    .map((entries) => ({ entries }))
}

/** Decodes a shard's ownership record. */
export function decodeShardRecord (key: string, value: string): Result<IShardRecord, InvalidInputError> {
  return parseFields(key, value).andThen((fields) => {
    const bad = firstNotOfType(fields, 'number', ['epoch', 'ownerIncarnation']) ??
      firstNotOfType(fields, 'string', ['shardId', 'kind', 'owner', 'nonce'])
    if (bad !== undefined) return err(damaged(key, bad, 'missing or of the wrong type'))
    return ok(fields as unknown as IShardRecord)
  })
}
