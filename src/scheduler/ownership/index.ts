/**
 * Ownership of shards, and the claims and jobs in the logs of the id shards. The scheduler wires the parts as follows:
 *
 *     const chart = loadChart('shardOwnership')                        // src/runtime/ChartLoader.ts
 *     const member = new MemberRegistration(store, clock, { ...identity, role: 'scheduler', peerUrl, operatorUrl, draining: false },
 *       DEFAULT_MEMBER_REGISTRATION_OPTIONS)
 *     const owner = new ShardOwner(store, clock, member, chart, new ShardAssignment(await createHash32()), releaseHandler, nonce,
 *       DEFAULT_SHARD_OWNER_OPTIONS)
 *     const claims = new ClaimService(store, clock, nonce, { ...DEFAULT_CLAIM_SERVICE_OPTIONS, owner: identity.processId })
 *
 *     owner.setShards([...idShardSpecs(8), ...racksOfTheHostList])     // call again whenever the host list changes
 *     owner.onAcquired(async ({ shardId, kind, epoch }) => {
 *       if (kind === 'ids') {
 *         const jobs = await claims.takeOver(shardId, epoch)           // retries during a store outage
 *         if (jobs.isErr()) {                                          // log the error; a damaged log needs an operator
 *           if (jobs.error instanceof FencedError) owner.reportFenced(shardId, jobs.error.currentEpoch)
 *           return
 *         }
 *         resumeJobs(jobs.value)
 *       } else {
 *         fenceHosts(shardId, epoch)                                   // then list what runs there, and only then place work
 *       }
 *       owner.markReady(shardId, epoch)
 *     })
 *     owner.onLost(({ shardId, kind }) => {
 *       if (kind === 'ids') claims.removeShard(shardId)
 *       else dropHosts(shardId)
 *     })
 *     claims.onLost(({ shardId, epoch }) => { owner.reportFenced(shardId, epoch + 1) })
 *     hostClient.onFenced((shardId, currentEpoch) => { owner.reportFenced(shardId, currentEpoch) })
 *     member.start()
 *     owner.start()
 *
 * `releaseHandler.beforeRelease(shardId, epoch)` stops new work for the shard and hands its queue over; for an id shard it
 * calls `claims.close(shardId)`. A planned stop calls `await owner.releaseAll()`, then `await member.stop()`, both with a
 * time limit, because they block during a store outage.
 *
 * A process that requests a claim dispatches only on `granted`, and only if the reply came in time and the attempt is
 * still wanted. Otherwise, and after `unavailable`, it doesn't dispatch, answers "not run", and sends `release` to the
 * shard's owner until the owner answers: the claim may have become durable all the same, and would keep repeats from
 * running.
 *
 * Requests for a claim or a block carry `ageMs`; a request that isn't idempotent gets no deadline beyond
 * `MAX_ATTEMPT_AGE_MS`. Requests to place a job's tasks carry the epoch of the job's owner; each scheduler checks its
 * `JobFence` before it starts an attempt, and a new owner of a job calls `tasksOf` at every scheduler before it places
 * tasks again.
 */

import type { IShardSpec } from '../../common/state/Types.js'

export { ClaimService, DEFAULT_CLAIM_SERVICE_OPTIONS } from './ClaimService.js'
export type { IClaimServiceOptions, ISliceLost } from './ClaimService.js'
export { DEFAULT_MEMBER_REGISTRATION_OPTIONS, MEMBER_PREFIX, MemberRegistration, parseMemberEntry } from './MemberRegistration.js'
export type { IMemberEntry, IMemberRegistrationOptions } from './MemberRegistration.js'
export { MemberView } from './MemberView.js'
export { ShardOwner } from './ShardOwner.js'
export type { JobOutcome } from './Slice.js'
export type { AppendOutcome } from './SliceWriter.js'
export type { RecoveryError } from './SliceRecovery.js'
export { DEFAULT_SHARD_OWNER_OPTIONS } from './Types.js'
export type { IShardAcquired, IShardLost, IShardOwnerOptions, IShardReleaseHandler } from './Types.js'

/** The fixed slices of the id space: `ids/00` and up. */
export function idShardSpecs (count: number): readonly IShardSpec[] {
  return Array.from({ length: count }, (_, index) => ({ shardId: `ids/${String(index).padStart(2, '0')}`, kind: 'ids' }))
}
