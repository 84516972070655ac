/**
 * Rules for runs whose start order may still be carried out. An order without a ticket names the incarnation of the host by nothing: an
 * incarnation that refuses it doesn't keep the next one from carrying it out seconds later. Until that is certain not to happen, the task is
 * started on no other host; the same run may be ordered again on the same host, which starts it only once.
 */

import type { MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'

/** How late a host may carry out a call that had no answer, in ms. */
export const MAX_CALL_DELAY_MS = 12_500
/**
 * The time to record for an order that is about to be sent, in ms. The owner may still send it within 1 s after the next owner has read the
 * record, since it knows itself as the owner for so long, and the order may wait for a connection for another second.
 */
export const UNSENT_OPEN_MS = MAX_CALL_DELAY_MS + 2000
/** A run takes at least this share of its estimate. */
const MIN_RUN_SHARE = 0.5
/** The record of a run is corrected once the time in it is too long by this much, in ms. */
const RECORD_LAG_MS = 1000
/** It is not corrected before this time has passed since the order, in ms: the job is often stored for another reason until then. */
const RECORD_DELAY_MS = 300

/** For how long the start order of the run may still be carried out, in ms, as it has to be recorded for the next owner. */
export function openMsToRecord (attempt: Attempt, nowMs: MonotonicMs): number {
  const { phase, isOnlyOrder, isAwaitingRecord, orderOpenUntilMs, task } = attempt
  if (isAwaitingRecord) return UNSENT_OPEN_MS
  if (phase === 'preparing') return task.step.job.queue.advice === undefined ? UNSENT_OPEN_MS : 0
  if (!attempt.isOrderOpen(nowMs)) return 0
  // The answer is most likely on its way.
  if (phase === 'ordered' && isOnlyOrder) return UNSENT_OPEN_MS
  return Math.ceil(orderOpenUntilMs - nowMs)
}

/** Whether the next owner would wait for the run much longer than necessary. */
export function isRecordOutdated (attempt: Attempt, nowMs: MonotonicMs): boolean {
  if (attempt.recordedOpenMs === 0 || nowMs - attempt.startedAtMs < RECORD_DELAY_MS) return false
  return attempt.recordedOpenMs - openMsToRecord(attempt, nowMs) >= RECORD_LAG_MS
}

/**
 * Whether a run that its host lacks may be ordered there again, although an earlier order of it may still be carried out.
 *
 * A later incarnation could carry out that order after the run has ended. So the run has to last longer than the order is open, unless an
 * earlier owner recorded it and may not have sent its order at all.
 */
export function mayOrderAgain (attempt: Attempt, nowMs: MonotonicMs): boolean {
  const { phase, host, task: { isDone, step } } = attempt
  if (phase !== 'unsure' && phase !== 'recovering' && phase !== 'running') return false
  if (isDone || step.job.isFinished || step.job.queue.advice !== undefined) return false
  if (!host.isPlaceable(nowMs) || !host.couldRun(step) || host.isOverCapacity) return false
  if (step.spec.gang && !isGangWhole(attempt)) return false
  return attempt.mayBeUnsent || outlastsOrder(attempt, nowMs)
}

function outlastsOrder ({ orderOpenUntilMs, task: { checkpoint, step: { spec } } }: Attempt, nowMs: MonotonicMs): boolean {
  if (spec.longRunning) return true
  // A run that resumes from a checkpoint may end at any time.
  return checkpoint === '' && nowMs + spec.estimateMs * MIN_RUN_SHARE >= orderOpenUntilMs
}

/** Whether the other members of the gang have the same run and aren't stopped. */
function isGangWhole ({ run, task: { step } }: Attempt): boolean {
  return step.tasks.every(({ attempt }) => attempt?.run === run && attempt.phase !== 'stopping')
}
