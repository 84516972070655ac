/**
 * Decodes the small records that the cell's processes keep in the store. Other programs can write there, so the records are checked like any
 * input.
 */

import { err, ok } from 'neverthrow'
import * as z from 'zod'

import type { Result } from 'neverthrow'
import type { IMalformedField, IMetadataItem } from '../common/cell/Types.js'
import type { IOwnerRecord } from './Types.js'

/** Where a process can be reached, as stored. */
export interface IMemberRecord {
  readonly peerUrl: string
}

const MemberSchema = z.object({ peerUrl: z.string() })
const OwnerSchema = z.object({ processId: z.string().min(1), incarnation: z.number(), peerUrl: z.string() })

export function decodeOwner (item: IMetadataItem): Result<IOwnerRecord, IMalformedField> {
  return decode(item.value, OwnerSchema).map((owner) => ({ ...owner, revision: item.revision }))
}

export function decodeMember (item: IMetadataItem): Result<IMemberRecord, IMalformedField> {
  return decode(item.value, MemberSchema)
}

function decode<T> (text: string, schema: z.ZodType<T>): Result<T, IMalformedField> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch {
    return err({ field: '', reason: 'not JSON' })
  }
  const parsed = schema.safeParse(value)
  if (parsed.success) return ok(parsed.data)
  const [issue] = parsed.error.issues
  return err({ field: issue?.path.join('.') ?? '', reason: issue?.message ?? 'malformed' })
}
