/**
 * Takes over the log of an id shard from the store, and retries while the store doesn't answer.
 */

import { err, ok } from 'neverthrow'
import { FencedError } from '../../common/Errors.js'
import { decodeHead } from '../../common/state/SliceCodec.js'
import { headKey, segmentPrefix } from '../../common/state/SliceKeys.js'
import { recoverSlice, buildTakeoverWrite } from '../../common/state/SliceTakeover.js'
import { performWrite } from './StoreOutcome.js'

import type { Result } from 'neverthrow'
import type { InvalidInputError, StepError } from '../../common/Errors.js'
import type { IReadRecord, IRecoveredSlice, ISliceClaimant } from '../../common/state/SliceTakeover.js'
import type { ITimers } from '../../common/Types.js'
import type { IKeyValueStore, IStoreRecord, StoreError } from '../../runtime/Types.js'

/** `FencedError`: a newer owner has written the log. `InvalidInputError`: the stored log is damaged. */
export type RecoveryError = FencedError | InvalidInputError

interface IRaisedHead {
  readonly record: IReadRecord
}

export class SliceRecovery {
  private _isCancelled = false

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _timers: ITimers,
    private readonly _claimant: ISliceClaimant,
    private readonly _nonce: () => string,
    private readonly _retryMs: number
  ) {}

  /** Stops retrying; `run` then returns a `FencedError`. */
  public cancel (): void {
    this._isCancelled = true
  }

  /** Raises the epoch in the head, then reads the segments. */
  public async run (): Promise<Result<IRecoveredSlice, RecoveryError>> {
    const raised = await this._raiseEpoch()
    if (raised.isErr()) return err(raised.error)
    const range = await this._retryUntilAnswered(async () => await this._store.range(segmentPrefix(this._claimant.shardId)))
    if (range.isErr()) return err(range.error)
    const { record } = raised.value
    return decodeHead(record.key, record.value)
      .andThen((head) => recoverSlice(this._claimant.shardId, head, record.modRevision, range.value.records))
  }

  /**
   * Raises the epoch in the head. After a conflict or a lost answer, reads the head again: only this process writes a
   * head with this epoch, so if the head has it, the write has taken effect.
   */
  private async _raiseEpoch (): Promise<Result<IRaisedHead, RecoveryError>> {
    for (;;) {
      const read = await this._retryUntilAnswered(async () => await this._store.get(headKey(this._claimant.shardId)))
      if (read.isErr()) return err(read.error)
      if (this._isRaised(read.value)) return ok({ record: read.value })
      const write = buildTakeoverWrite(this._claimant, this._nonce(), read.value)
      if (write.isErr()) return err(write.error)
      const result = await performWrite(this._store, write.value)
      if (result.outcome === 'nothing' || result.outcome === 'ambiguous') await this._waitForRetry()
    }
  }

  private _isRaised (record: IStoreRecord | undefined): record is IStoreRecord {
    if (record === undefined) return false
    const head = decodeHead(record.key, record.value).unwrapOr(undefined)
    return head?.epoch === this._claimant.epoch && head.owner === this._claimant.owner
  }

  private async _retryUntilAnswered<T> (query: () => Promise<Result<T, StoreError>>): Promise<Result<T, FencedError>> {
    for (;;) {
      if (this._isCancelled) return err(this._supersededError())
      const answer: Result<T, StepError> = await query()
      if (answer.isOk()) return ok(answer.value)
      await this._waitForRetry()
    }
  }

  private async _waitForRetry (): Promise<void> {
    await new Promise<void>((resolve) => { this._timers.after(this._retryMs, resolve) })
  }

  private _supersededError (): FencedError {
    return new FencedError('slice.takeOver', this._claimant.shardId, this._claimant.epoch)
  }
}
