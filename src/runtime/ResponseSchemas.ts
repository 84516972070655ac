/**
 * Schemas of the responses of outside systems. Clients validate each response: a host with an invalid response is treated
 * as one that did not respond.
 */

import { Result, err, ok } from 'neverthrow'
import * as z from 'zod'

import type { IHostRecord, IRunnerStatus, IStoreChange, IStoreRange, IStoreRecord, IWorkerStatus } from './Types.js'

const count = z.int().nonnegative()
const amount = z.number().nonnegative()
const resources = z.object({ cores: amount, memoryBytes: amount, accelerators: amount })

const storeRecord = z.object({ key: z.string(), value: z.string(), modRevision: count })

export const storeGetResponse: z.ZodType<{ readonly record?: IStoreRecord | undefined }> = z.object({ record: storeRecord.optional() })
export const storeRangeResponse: z.ZodType<IStoreRange> = z.object({ records: z.array(storeRecord), revision: count })
export const storeWriteResponse = z.object({ modRevision: count })
export const storeLeaseResponse = z.object({ leaseId: z.string() })
export const storeWatchResponse: z.ZodType<{ readonly changes: readonly IStoreChange[], readonly revision: number }> =
  z.object({ changes: z.array(storeRecord.extend({ deleted: z.boolean() })), revision: count })

export const hostListResponse = z.object({ hosts: z.array(z.unknown()) })
export const hostRecord: z.ZodType<IHostRecord> = z.object({
  hostId: z.string().min(1),
  kind: z.enum(['runner', 'worker']),
  url: z.url({ protocol: /^http$/ }),
  rack: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  state: z.enum(['live', 'leaving', 'gone']),
  slots: count,
  maxConnections: count,
  capacity: resources
})

/** The part of a host record that identifies the host. */
export const hostIdentity = z.object({ hostId: z.string() })

export const runnerStatus: z.ZodType<IRunnerStatus> =
  z.object({ slots: count, slotsInUse: count, leaving: z.boolean(), attemptIds: z.array(z.string()) })

export const workerStatus: z.ZodType<IWorkerStatus> = z.object({
  hostMs: z.number(),
  leaving: z.boolean(),
  sequence: count,
  capacity: resources,
  tasks: z.array(z.object({
    taskId: z.string(),
    attempt: count,
    jobId: z.string(),
    state: z.enum(['running', 'succeeded', 'failed', 'stopped', 'leaseLapsed']),
    resources,
    usage: resources
  }))
})

const parseJson = Result.fromThrowable(
  (body: Uint8Array): unknown => JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString()),
  (error) => String(error))

/** Parses the body as JSON of this schema, or returns a description of what is wrong with it. */
export function parseResponse<T> (schema: z.ZodType<T>, body: Uint8Array): Result<T, string> {
  return parseJson(body).andThen((json) => {
    const parsed = schema.safeParse(json)
    return parsed.success ? ok(parsed.data) : err(parsed.error.message)
  })
}
