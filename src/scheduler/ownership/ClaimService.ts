/**
 * The id shards that this process owns, as calls: claim, block, release, and the jobs kept in the same log.
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
  /** Head writes a second that the whole fleet may cost the store. */
  readonly fleetWritesPerSecond: number
  /** How many id shards share that budget. */
  readonly idShardCount: number
  readonly minCommitIntervalMs: number
  /**
   * How long a caller's answer waits for one commit, in milliseconds. A store that is slower than this refuses every
   * claim, so it stands well above a slow answer; a store that hangs costs those who came first this long.
   */
  readonly patienceMs: number
  /** Between tries while the store doesn't answer, in milliseconds. */
  readonly retryMs: number
  /** What those are told who come while the store doesn't answer, in milliseconds. */
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
  patienceMs: 1_000,
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
  /** Another process has raised the epoch in a log: tell `ShardOwner.fenced`. The slice is dropped already. */
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
   * Takes a log over; gives the accepted jobs that haven't ended. Waits out an outage of the store. `FencedError`: a
   * newer owner has been there, or the shard was dropped meanwhile.
   */
  public async takeOver (shardId: string, epoch: number): Promise<Result<readonly IJobSpec[], RecoveryError>> {
    this.drop(shardId)
    const by = { shardId, owner: this._options.owner, epoch }
    const recovery = new SliceRecovery(this._store, this._clock, by, this._nonce, this._options.retryMs)
    this._recoveries.set(shardId, recovery)
    const recovered = await recovery.run()
    if (this._recoveries.get(shardId) !== recovery) return err(new FencedError('slice.takeOver', shardId, epoch))
    this._recoveries.delete(shardId)
    if (recovered.isErr()) return err(recovered.error)
    return ok(this._open(shardId, epoch, recovered.value).liveJobs())
  }

  /** Stops serving a shard; for a loss. Those who wait for a commit hear `notOwner`. */
  public drop (shardId: string): void {
    this._recoveries.get(shardId)?.cancel()
    this._recoveries.delete(shardId)
    const owned = this._slices.get(shardId)
    this._slices.delete(shardId)
    owned?.slice.dispose()
  }

  /** Waits for what is queued, then stops serving; for a planned release. */
  public async close (shardId: string): Promise<void> {
    const owned = this._slices.get(shardId)
    await owned?.slice.flush()
    if (this._slices.get(shardId) === owned) this.drop(shardId)
  }

  /** Whether this process serves the shard; while it still takes the log over, it does and answers `unavailable`. */
  public owns (shardId: string): boolean {
    return this._slices.has(shardId) || this._recoveries.has(shardId)
  }

  public async claim (request: IClaimRequest): Promise<ClaimReply> {
    const slice = this._slices.get(request.idShard)?.slice
    return slice === undefined ? this._notServed(request.idShard) : await slice.claim(request)
  }

  public async block (request: IClaimRequest): Promise<BlockReply> {
    const slice = this._slices.get(request.idShard)?.slice
    return slice === undefined ? this._notServed(request.idShard) : await slice.block(request)
  }

  public async release (request: IClaimRequest): Promise<{ readonly released: boolean }> {
    const slice = this._slices.get(request.idShard)?.slice
    return { released: slice === undefined ? false : await slice.release(request) }
  }

  /**
   * Makes a job durable before its caller is told "accepted". `dropped`: for certain not accepted; `inDoubt`: it may
   * still be, and asking again with the same job id tells.
   */
  public async acceptJob (shardId: string, job: IJobSpec): Promise<JobOutcome> {
    return await (this._slices.get(shardId)?.slice.acceptJob(job) ?? 'lost')
  }

  /** Makes a job's end durable; repeat it while the outcome is `dropped` or `inDoubt`. */
  public async endJob (shardId: string, jobId: string, state: JobState): Promise<AppendOutcome> {
    return await (this._slices.get(shardId)?.slice.endJob(jobId, state) ?? 'lost')
  }

  public job (shardId: string, jobId: string): IJobRecord | undefined {
    return this._slices.get(shardId)?.slice.job(jobId)
  }

  public dispose (): void {
    for (const shardId of [...this._slices.keys(), ...this._recoveries.keys()]) this.drop(shardId)
    this._disposables.dispose()
  }

  private _open (shardId: string, epoch: number, recovered: IRecoveredSlice): Slice {
    const { owner, sealBytes, maxCommitBytes, retentionMs, patienceMs, retryMs, retryAfterMs } = this._options
    const log = new SliceLog({ shardId, owner, epoch, sealBytes, maxCommitBytes, retentionMs }, this._nonce, recovered.start)
    const timing = { patienceMs, retryMs, commitIntervalMs: () => this._commitIntervalMs() }
    const writer = new SliceWriter(this._store, this._clock, log, shardId, timing)
    const slice = new Slice(this._clock, writer, { retentionMs, retryAfterMs }, recovered.entries)
    slice.onLost(() => { this._lost(shardId, epoch) })
    this._slices.set(shardId, { epoch, slice })
    return slice
  }

  /**
   * Made for the load in which every id shard commits all the time. The store takes several hundred writes a second
   * whatever the fleet's size; were the interval fixed, more shards would push the members' lease renewals out and
   * one would see owners change. The interval grows with the number of shards that share the budget.
   */
  private _commitIntervalMs (): number {
    const shareMs = this._options.idShardCount / this._options.fleetWritesPerSecond * 1_000
    return Math.max(this._options.minCommitIntervalMs, shareMs)
  }

  private _lost (shardId: string, epoch: number): void {
    this.drop(shardId)
    this._onLost.fire({ shardId, epoch })
  }

  private _notServed (shardId: string): { readonly decision: 'notOwner' } | { readonly decision: 'unavailable', readonly retryAfterMs: number } {
    if (this._recoveries.has(shardId)) return { decision: 'unavailable', retryAfterMs: this._options.retryMs }
    return { decision: 'notOwner' }
  }
}
