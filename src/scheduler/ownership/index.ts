/**
 * Ownership of shards and the log of the id shards, ready to be wired into the scheduler.
 *
 *     const chart = loadChart('shardOwnership')                        // src/runtime/ChartLoader.ts
 *     const member = new MemberRegistration(store, clock, { ...identity, role: 'scheduler', peerUrl, operatorUrl, draining: false },
 *       DEFAULT_MEMBER_REGISTRATION_OPTIONS)
 *     const owner = new ShardOwner(store, clock, member, chart, new ShardAssignment(await createHash32()), user, nonce,
 *       DEFAULT_SHARD_OWNER_OPTIONS)
 *     const claims = new ClaimService(store, clock, nonce, { ...DEFAULT_CLAIM_SERVICE_OPTIONS, owner: identity.processId })
 *
 *     owner.setShards([...idShardSpecs(8), ...racksOfTheHostList])     // again whenever the host list changes
 *     owner.onAcquired(async ({ shardId, kind, epoch }) => {
 *       if (kind === 'ids') {
 *         const jobs = await claims.takeOver(shardId, epoch)           // waits out an outage
 *         if (jobs.isErr()) {                                          // log it; a damaged log needs an operator
 *           if (jobs.error instanceof FencedError) owner.fenced(shardId, jobs.error.currentEpoch)
 *           return
 *         }
 *         carryOn(jobs.value)
 *       } else {
 *         fenceHosts(shardId, epoch)                                   // then list what runs, and only then place
 *       }
 *       owner.ready(shardId, epoch)
 *     })
 *     owner.onLost(({ shardId, kind }) => {
 *       if (kind === 'ids') claims.drop(shardId)
 *       else dropHosts(shardId)
 *     })
 *     claims.onLost(({ shardId, epoch }) => { owner.fenced(shardId, epoch + 1) })
 *     hostClient.onFenced((shardId, currentEpoch) => { owner.fenced(shardId, currentEpoch) })
 *     member.start()
 *     owner.start()
 *
 * `user.beforeRelease(shardId, epoch)` stops new work for the shard and hands its queue over; for an id shard it is
 * `claims.close(shardId)`. Planned stop: `await owner.releaseAll()`, then `await member.stop()`, both under a limit
 * of time, because a store outage holds them up.
 *
 * Whoever asks for a claim dispatches only on `granted`, and only if the answer came in time and its attempt is
 * still wanted. Otherwise, and after `unavailable`, it answers "not run", doesn't dispatch, and sends `release` to the
 * shard's owner until that answers: the claim may have become durable after all, and would keep repeats from running.
 *
 * Requests for a claim or a block carry `ageMs`; a request that isn't idempotent gets no deadline beyond
 * `MAX_ATTEMPT_AGE_MS`. Placing a job's tasks carries the job owner's epoch; each scheduler asks its `JobFence`
 * before it starts an attempt, and a new owner of a job calls `tasksOf` at every scheduler before it places anew.
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
export type { IShardAcquired, IShardLost, IShardOwnerOptions, IShardUser } from './Types.js'

/** The fixed slices of the id space: `ids/00` and up. */
export function idShardSpecs (count: number): readonly IShardSpec[] {
  return Array.from({ length: count }, (_, index) => ({ shardId: `ids/${String(index).padStart(2, '0')}`, kind: 'ids' }))
}
