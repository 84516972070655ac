/**
 * Serves the id shards that this process owns: claim, block and release of attempts, and the jobs in the same logs.
 */

import { err, ok } from 'neverthrow'
import { DisposableStore, Emitter } from '../../common/Emitter.js'
import { FencedError } from '../../common/Errors.js'
import { SliceLog } from '../../common/state/SliceLog.js'
import { DEFAULT_SLICE_LOG_OPTIONS } from '../../common/state/SliceLogTypes.js'
import { Slice } from './Slice.js'
import { SliceRecovery } from './SliceRecovery.js'
import { SliceWriter } from './SliceWriter.js'

import type { Result } from 'neverthrow'
import type { BlockReply, ClaimReply, IClaimRequest, IJobSpec, JobState } from '../../common/protocol/Types.js'
import type { IJobRecord } from '../../common/state/JobTable.js'
import type { IRecoveredSlice } from '../../common/state/SliceTakeover.js'
import type { IClock, IDisposable, ITimers } from '../../common/Types.js'
import type { IKeyValueStore } from '../../runtime/Types.js'
import type { JobOutcome } from './Slice.js'
import type { RecoveryError } from './SliceRecovery.js'
import type { AppendOutcome } from './SliceWriter.js'

export interface IClaimServiceOptions {
  /** `processId` of this process. */
  readonly owner: string
  /** Most writes of log heads per second that the whole fleet may send to the store. */
  readonly fleetWritesPerSecond: number
  /** Number of id shards that share this budget. */
  readonly idShardCount: number
  readonly minCommitIntervalMs: number
  /**
   * Longest time that an answer waits for one commit, in milliseconds. If the store is slower than this, every claim is
   * refused, so the limit is well above a slow answer. If the store hangs, the first callers wait this long.
   */
  readonly commitTimeoutMs: number
  /** Time between two tries while the store doesn't answer, in milliseconds. */
  readonly retryMs: number
  /** The retry delay in answers to callers while the store doesn't answer, in milliseconds. */
  readonly retryAfterMs: number
  readonly sealBytes: number
  readonly maxCommitBytes: number
  readonly retentionMs: number
}

export const DEFAULT_CLAIM_SERVICE_OPTIONS = {
  ...DEFAULT_SLICE_LOG_OPTIONS,
  fleetWritesPerSecond: 150,
  idShardCount: 16,
  minCommitIntervalMs: 5,
  commitTimeoutMs: 1_000,
  retryMs: 500,
  retryAfterMs: 1_000
} as const

export interface ISliceLost {
  readonly shardId: string
  readonly epoch: number
}

interface IOwnedSlice {
  readonly epoch: number
  readonly slice: Slice
}

export class ClaimService implements IDisposable {
  private readonly _onLost = new Emitter<ISliceLost>()
  /** Another process has raised the epoch in a log: call `ShardOwner.reportFenced`. The slice has already been dropped. */
  public readonly onLost = this._onLost.event
  private readonly _slices = new Map<string, IOwnedSlice>()
  private readonly _recoveries = new Map<string, SliceRecovery>()
  private readonly _disposables = new DisposableStore()

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _clock: IClock & ITimers,
    private readonly _nonce: () => string,
    private readonly _options: IClaimServiceOptions
  ) {
    this._disposables.add(this._onLost)
  }

  /**
   * Takes a log over and returns the accepted jobs that haven't ended. Retries during a store outage. `FencedError`: a
   * newer owner has written the log, or the shard was dropped in the meantime.
   */
  public async takeOver (shardId: string, epoch: number): Promise<Result<readonly IJobSpec[], RecoveryError>> {
    this.removeShard(shardId)
    const claimant = { shardId, owner: this._options.owner, epoch }
    const recovery = new SliceRecovery(this._store, this._clock, claimant, this._nonce, this._options.retryMs)
    this._recoveries.set(shardId, recovery)
    const recovered = await recovery.run()
    if (this._recoveries.get(shardId) !== recovery) return err(new FencedError('slice.takeOver', shardId, epoch))
    this._recoveries.delete(shardId)
    if (recovered.isErr()) return err(recovered.error)
    return ok(this._openSlice(shardId, epoch, recovered.value).liveJobs())
  }

  /** Stops serving a shard that has been lost. Callers that wait for a commit are answered `notOwner`. */
  public removeShard (shardId: string): void {
    this._recoveries.get(shardId)?.cancel()
    this._recoveries.delete(shardId)
    const owned = this._slices.get(shardId)
    this._slices.delete(shardId)
    owned?.slice.dispose()
  }

  /** Waits until all queued entries have an outcome, then stops serving the shard; for a planned release. */
  public async close (shardId: string): Promise<void> {
    const owned = this._slices.get(shardId)
    await owned?.slice.flush()
    if (this._slices.get(shardId) === owned) this.removeShard(shardId)
  }

  /** Whether this process serves the shard. It already does while it takes the log over, and answers `unavailable` meanwhile. */
  public owns (shardId: string): boolean {
    return this._slices.has(shardId) || this._recoveries.has(shardId)
  }

  public async claim (request: IClaimRequest): Promise<ClaimReply> {
    const slice = this._slices.get(request.idShard)?.slice
    return slice === undefined ? this._notServedReply(request.idShard) : await slice.claim(request)
  }

  public async block (request: IClaimRequest): Promise<BlockReply> {
    const slice = this._slices.get(request.idShard)?.slice
    return slice === undefined ? this._notServedReply(request.idShard) : await slice.block(request)
  }

  public async release (request: IClaimRequest): Promise<{ readonly released: boolean }> {
    const slice = this._slices.get(request.idShard)?.slice
    return { released: slice === undefined ? false : await slice.release(request) }
  }

  /**
   * Makes a job durable before its caller is told "accepted". `dropped`: the job is certainly not accepted. `inDoubt`: it
   * may still become accepted; submitting the same job id again shows whether it has.
   */
  public async acceptJob (shardId: string, job: IJobSpec): Promise<JobOutcome> {
    return await (this._slices.get(shardId)?.slice.acceptJob(job) ?? 'lost')
  }

  /** Makes a job's end durable. Call again while the outcome is `dropped` or `inDoubt`. */
  public async endJob (shardId: string, jobId: string, state: JobState): Promise<AppendOutcome> {
    return await (this._slices.get(shardId)?.slice.endJob(jobId, state) ?? 'lost')
  }

  public job (shardId: string, jobId: string): IJobRecord | undefined {
    return this._slices.get(shardId)?.slice.job(jobId)
  }

  public dispose (): void {
    for (const shardId of [...this._slices.keys(), ...this._recoveries.keys()]) this.removeShard(shardId)
    this._disposables.dispose()
  }

  private _openSlice (shardId: string, epoch: number, recovered: IRecoveredSlice): Slice {
    const { owner, sealBytes, maxCommitBytes, retentionMs, commitTimeoutMs, retryMs, retryAfterMs } = this._options
    const log = new SliceLog({ shardId, owner, epoch, sealBytes, maxCommitBytes, retentionMs }, this._nonce, recovered.start)
    const timing = { commitTimeoutMs, retryMs, commitIntervalMs: () => this._commitIntervalMs() }
    const writer = new SliceWriter(this._store, this._clock, log, shardId, timing)
    const slice = new Slice(this._clock, writer, { retentionMs, retryAfterMs }, recovered.entries)
    slice.onLost(() => { this._handleLost(shardId, epoch) })
    this._slices.set(shardId, { epoch, slice })
    return slice
  }

  /**
   * Time between two commits, for the load at which every id shard commits continuously. The store handles several
   * hundred writes a second, whatever the fleet's size. With a fixed interval, the writes of more shards would delay the
   * members' lease renewals, and shards would change owner. So the interval grows with the number of shards.
   */
  private _commitIntervalMs (): number {
    const shareMs = this._options.idShardCount / this._options.fleetWritesPerSecond * 1_000
    return Math.max(this._options.minCommitIntervalMs, shareMs)
  }

  private _handleLost (shardId: string, epoch: number): void {
    this.removeShard(shardId)
    this._onLost.fire({ shardId, epoch })
  }

  private _notServedReply (shardId: string): { readonly decision: 'notOwner' } | { readonly decision: 'unavailable', readonly retryAfterMs: number } {
    if (this._recoveries.has(shardId)) return { decision: 'unavailable', retryAfterMs: this._options.retryMs }
    return { decision: 'notOwner' }
  }
}
