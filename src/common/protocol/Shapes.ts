/**
 * The shapes of all messages between processes. Each message is validated when it is received. A peer that has the key
 * may still run faulty code. Without validation this would cause type errors deep in a decision, or a NaN in a ledger,
 * far from the origin. The shapes limit types and sizes; the code that uses a value checks its meaning.
 *
 * The compiler checks that the shapes match the types. A valid message is passed on unchanged.
 */

import * as z from 'zod'

import type { IPeerCalls, IPeerCasts, PeerCallName, PeerCastName } from './Types.js'

const MAX_ID_LENGTH = 512
const MAX_TEXT_LENGTH = 65_536
/** Limit on the record of a caller's job. The size of the job's body is checked before the record is built. */
const MAX_RECORD_LENGTH = 1_048_576

const id = z.string().max(MAX_ID_LENGTH)
const text = z.string().max(MAX_TEXT_LENGTH)
const count = z.number().int().nonnegative()
const amount = z.number().nonnegative()
const durationMs = z.number()
const bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array)

const location = { region: id, failureDomain: id }
const identity = { processId: id, incarnation: count, ...location }
const resources = z.object({ cores: amount, memoryBytes: amount, accelerators: amount })

const outcomeReason = z.enum([
  'overloaded', 'quota', 'deadline', 'infeasible', 'storeUnavailable', 'noUpstream', 'upstreamRefused', 'upstreamCut',
  'upstreamTimeout', 'linkLost', 'cancelled', 'draining', 'duplicate', 'internal'
])
const finalAnswer = z.object({
  outcome: z.enum(['done', 'refused', 'notRun', 'unknown']),
  reason: outcomeReason.exactOptional(),
  detail: text.exactOptional(),
  retryAfterMs: durationMs.exactOptional(),
  status: count.exactOptional(),
  contentType: id.exactOptional(),
  body: bytes.exactOptional(),
  upstream: id.exactOptional(),
  region: id.exactOptional(),
  waitMs: durationMs.exactOptional(),
  serviceMs: durationMs.exactOptional(),
  profileRevision: count.exactOptional()
})

const submitRequest = z.object({
  attemptId: id,
  service: id,
  caller: id,
  requestId: id,
  idempotent: z.boolean(),
  remainingMs: durationMs,
  ageMs: durationMs,
  contentType: id,
  body: bytes,
  hops: count
})

const ownerRecord = z.object({ processId: id, incarnation: count, peerUrl: id, revision: count })
const offerReply = z.object({ isWilling: z.boolean(), yieldMs: amount, peerUrl: text, fitness: amount.exactOptional() })
const callerAccess = { queue: id, keyDigest: id, configVersion: count }
const claimRequest = z.object({ idShard: id, claimKey: id, attemptId: id, holder: id, ageMs: durationMs })
const notOwner = z.object({ decision: z.literal('notOwner') })
const unavailable = z.object({ decision: z.literal('unavailable'), retryAfterMs: durationMs })
const blocked = z.object({ decision: z.literal('blocked') })
const claimReply = z.discriminatedUnion('decision', [
  z.object({ decision: z.literal('granted') }),
  z.object({ decision: z.literal('duplicate'), attemptId: id, holder: id }),
  blocked, notOwner, unavailable
])
const blockReply = z.discriminatedUnion('decision', [
  z.object({ decision: z.literal('claimed'), holder: id }), blocked, notOwner, unavailable
])

const taskSpec = z.object({ taskId: id, resources, runMs: durationMs.exactOptional() })
const taskPlace = z.object({
  taskId: id,
  attempt: count,
  state: z.enum(['queued', 'reserved', 'running', 'unsure', 'succeeded', 'failed', 'stopped']),
  hostId: id.exactOptional(),
  shardId: id.exactOptional()
})
const jobSpec = z.object({ jobId: id, service: id, caller: id, longRunning: z.boolean(), tasks: z.array(taskSpec) })
const jobStatus = z.object({
  jobId: id,
  service: id,
  caller: id,
  state: z.enum(['accepted', 'running', 'succeeded', 'failed', 'cancelled']),
  reason: text.exactOptional(),
  tasks: z.array(taskPlace)
})
const jobIdRequest = z.object({ jobId: id })
const jobReply = z.object({ status: jobStatus.exactOptional(), owner: z.boolean() })
const placeTask = z.object({
  jobId: id,
  service: id,
  caller: id,
  task: taskSpec,
  attempt: count,
  jobOwner: id,
  ownerEpoch: count.exactOptional(),
  avoidHostIds: z.array(id).exactOptional()
})
const placeReply = z.object({ accepted: z.boolean(), reason: outcomeReason.exactOptional(), retryAfterMs: durationMs.exactOptional() })
const taskUpdate = z.object({ jobId: id, place: taskPlace })
const reservationRef = z.object({ jobId: id, tryNumber: count })

const configValue = z.object({ name: id })
const configEntry = z.object({
  kind: z.enum(['profile', 'service', 'team']),
  name: id,
  revision: count,
  deleted: z.boolean(),
  value: configValue.exactOptional(),
  writer: id,
  nonce: id,
  changedAt: z.number()
})

/** Free resources may be negative if tasks use more than they declared. */
const freeResources = z.object({ cores: z.number(), memoryBytes: z.number(), accelerators: z.number() })
const shardLoad = z.object({
  shardId: id,
  kind: z.enum(['runners', 'workers', 'ids']),
  epoch: count,
  freeSlots: z.number(),
  totalSlots: z.number(),
  free: freeResources,
  largestFree: freeResources
})
const loadSummary = z.object({
  ...identity,
  draining: z.boolean(),
  storeReachable: z.boolean(),
  shards: z.array(shardLoad),
  expectedWaitMs: z.object({ urgent: durationMs, normal: durationMs, patient: durationMs }),
  queued: count
})

const memberNews = { processId: id, incarnation: count, sequence: count, state: z.enum(['alive', 'suspect', 'leaving', 'dead']) }

const memberShape = z.object({
  ...identity, role: z.enum(['gateway', 'scheduler']), peerUrl: id, operatorUrl: id, state: memberNews.state
})
const membersCast = z.object({
  news: z.array(z.object(memberNews)),
  records: z.array(memberShape.extend({ sequence: count })).exactOptional(),
  wanted: z.array(id).exactOptional(),
  viewHash: z.number().exactOptional(),
  bucketHashes: z.array(z.number()).exactOptional(),
  listedBuckets: z.array(count).exactOptional()
})

/** The request and the reply of each call. */
export const callShapes = {
  submit: { request: submitRequest, reply: finalAnswer },
  cancel: { request: z.object({ attemptId: id }), reply: z.object({ cancelled: z.boolean() }) },
  claim: { request: claimRequest, reply: claimReply },
  block: { request: claimRequest, reply: blockReply },
  release: { request: claimRequest, reply: z.object({ released: z.boolean() }) },
  outcomeOf: { request: z.object({ attemptId: id, waitMs: durationMs }), reply: finalAnswer },
  submitJob: { request: jobSpec, reply: finalAnswer },
  jobStatus: { request: jobIdRequest, reply: jobReply },
  cancelJob: { request: jobIdRequest, reply: jobReply },
  placeTask: { request: placeTask, reply: placeReply },
  placeGroup: { request: z.object({ jobId: id, tasks: z.array(placeTask) }), reply: placeReply },
  cancelTask: {
    request: z.object({ jobId: id, taskId: id, attempt: count.exactOptional(), onlyIfQueued: z.boolean().exactOptional() }),
    reply: z.object({ known: z.boolean() })
  },
  tasksOf: {
    request: z.object({ idShard: id, ownerEpoch: count, jobOwner: id, endedOf: z.array(id).exactOptional() }),
    reply: z.object({ settledShards: z.array(id), tasks: z.array(taskUpdate) })
  },
  reserve: {
    request: z.object({ jobId: id, tasks: z.array(placeTask), expiresMs: durationMs, tryNumber: count }),
    reply: z.object({ reservedTaskIds: z.array(id) })
  },
  startReserved: { request: reservationRef, reply: z.object({ started: z.boolean() }) },
  dropReservation: { request: reservationRef, reply: z.object({ dropped: z.boolean() }) },
  configSince: { request: z.object({ digest: id }), reply: z.object({ entries: z.array(configEntry) }) },
  dump: { request: z.object({ section: id.exactOptional() }), reply: z.object({ json: z.string() }) },
  drain: { request: z.object({ hostId: id.exactOptional() }), reply: z.object({ draining: z.boolean() }) },
  cellSubmit: {
    request: z.object({ jobId: id, record: z.string().max(MAX_RECORD_LENGTH), ageMs: amount, ...callerAccess }),
    reply: z.object({
      kind: z.enum(['accepted', 'refused', 'noQueue', 'unauthorized', 'invalid', 'inDoubt', 'notOwner']),
      reason: text.exactOptional(),
      retryAfterMs: amount.exactOptional(),
      isStoreAway: z.boolean().exactOptional()
    })
  },
  cellState: {
    request: z.object({ jobId: id, ...callerAccess }),
    reply: z.object({
      kind: z.enum(['known', 'unknownJob', 'unavailable', 'noQueue', 'unauthorized']),
      phase: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']).exactOptional()
    })
  },
  cellCancel: {
    request: z.object({ jobId: id, ...callerAccess }),
    reply: z.object({ result: z.enum(['cancelled', 'unknownJob', 'unavailable', 'noQueue', 'unauthorized']) })
  },
  cellWaiting: {
    request: z.object(callerAccess),
    reply: z.object({ kind: z.enum(['counted', 'unavailable', 'noQueue', 'unauthorized']), count: count.exactOptional() })
  },
  cellConfig: { request: z.object({ version: z.number().int() }), reply: z.object({ record: z.string().max(MAX_RECORD_LENGTH).exactOptional() }) },
  cellAdvise: {
    request: z.object({ jobId: id, step: count, hostIds: z.array(id), timeoutMs: amount }),
    reply: z.object({
      kind: z.enum(['advised', 'busy', 'failed']),
      allowed: z.array(z.object({ hostId: id, ticket: id })).exactOptional()
    })
  },
  cellOffer: { request: ownerRecord, reply: offerReply },
  cellRelief: { request: ownerRecord, reply: offerReply },
  cellReach: { request: z.object({}), reply: z.object({ isReached: z.boolean() }) },
  cellPing: { request: z.object({}), reply: z.object({}) },
  cellWitness: { request: z.object({ processId: id, waitMs: amount }), reply: z.object({ isReached: z.boolean() }) },
  cellLinks: { request: z.object({}), reply: z.object({ processIds: z.array(id) }) },
  cellTakeOver: { request: ownerRecord.extend({ isRelief: z.boolean().exactOptional() }), reply: z.object({ isOwner: z.boolean() }) }
}

/** The body of each cast. */
export const castShapes = {
  loadSummary,
  configEntries: z.object({ entries: z.array(configEntry) }),
  members: membersCast,
  taskUpdate,
  cellOwner: ownerRecord,
  cellStandby: z.object({ processId: id, peerUrl: text, revision: count })
}

type Shape = z.ZodType<unknown>
type DeepReadonly<T> = T extends Uint8Array ? T : T extends object ? { readonly [K in keyof T]: DeepReadonly<T[K]> } : T
type ShapeOutput<S extends Shape> = DeepReadonly<z.output<S>>
/** The names of the calls whose types do not match their shapes. */
type MismatchedCalls = { [N in PeerCallName]:
  [IPeerCalls[N]['request'], IPeerCalls[N]['reply']] extends [ShapeOutput<typeof callShapes[N]['request']>, ShapeOutput<typeof callShapes[N]['reply']>] ? never : N
}[PeerCallName]
type MismatchedCasts = { [N in PeerCastName]: IPeerCasts[N] extends ShapeOutput<typeof castShapes[N]> ? never : N }[PeerCastName]
type AssertNever<T extends never> = T
/** Fails to compile if a type has changed and its shape has not. */
export type ShapesFollowTypes = AssertNever<MismatchedCalls | MismatchedCasts>

/** The shape of a call's request, or undefined for an unknown name. */
export function requestShape (name: string): Shape | undefined {
  return Object.hasOwn(callShapes, name) ? callShapes[name as PeerCallName].request : undefined
}

export function replyShape (name: string): Shape | undefined {
  return Object.hasOwn(callShapes, name) ? callShapes[name as PeerCallName].reply : undefined
}

export function castShape (name: string): Shape | undefined {
  return Object.hasOwn(castShapes, name) ? castShapes[name as PeerCastName] : undefined
}

/** Describes in one line where a value does not match a shape; undefined if it matches. */
export function findShapeError (shape: Shape, value: unknown): string | undefined {
  const parsed = shape.safeParse(value)
  if (parsed.success) return undefined
  const [issue] = parsed.error.issues
  return issue === undefined ? 'misshapen' : `${issue.path.join('.')}: ${issue.message}`
}
