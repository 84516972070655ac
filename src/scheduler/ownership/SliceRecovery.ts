/**
 * Takes an id shard's log over from the store, and tries again while the store doesn't answer.
 */

import { err, ok } from 'neverthrow'
import { FencedError } from '../../common/Errors.js'
import { decodeHead } from '../../common/state/SliceCodec.js'
import { headKey, segmentPrefix } from '../../common/state/SliceKeys.js'
import { recoverSlice, takeoverWrite } from '../../common/state/SliceTakeover.js'
import { doWrite } from './StoreOutcome.js'

import type { Result } from 'neverthrow'
import type { InvalidInputError, StepError } from '../../common/Errors.js'
import type { IReadRecord, IRecoveredSlice, ISliceClaimant } from '../../common/state/SliceTakeover.js'
import type { ITimers } from '../../common/Types.js'
import type { IKeyValueStore, IStoreRecord, StoreError } from '../../runtime/Types.js'

/** `FencedError`: a newer owner has been there. `InvalidInputError`: the stored log is damaged. */
export type RecoveryError = FencedError | InvalidInputError

interface IRaisedHead {
  readonly record: IReadRecord
}

export class SliceRecovery {
  private _cancelled = false

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _timers: ITimers,
    private readonly _by: ISliceClaimant,
    private readonly _nonce: () => string,
    private readonly _retryMs: number
  ) {}

  /** Ends the tries; `run` then gives a `FencedError`. */
  public cancel (): void {
    this._cancelled = true
  }

  /** Raises the epoch in the head, then reads the segments. */
  public async run (): Promise<Result<IRecoveredSlice, RecoveryError>> {
    const raised = await this._raiseEpoch()
    if (raised.isErr()) return err(raised.error)
    const range = await this._untilAnswered(async () => await this._store.range(segmentPrefix(this._by.shardId)))
    if (range.isErr()) return err(range.error)
    const { record } = raised.value
    return decodeHead(record.key, record.value)
      .andThen((head) => recoverSlice(this._by.shardId, head, record.modRevision, range.value.records))
  }

  /**
   * A conflict or a lost answer is settled by reading the head again: only this process writes a head with this
   * epoch, so finding it there means that the write has arrived.
   */
  private async _raiseEpoch (): Promise<Result<IRaisedHead, RecoveryError>> {
    for (;;) {
      const read = await this._untilAnswered(async () => await this._store.get(headKey(this._by.shardId)))
      if (read.isErr()) return err(read.error)
      if (this._isRaised(read.value)) return ok({ record: read.value })
      const write = takeoverWrite(this._by, this._nonce(), read.value)
      if (write.isErr()) return err(write.error)
      const result = await doWrite(this._store, write.value)
      if (result.outcome === 'nothing' || result.outcome === 'ambiguous') await this._pause()
    }
  }

  private _isRaised (record: IStoreRecord | undefined): record is IStoreRecord {
    if (record === undefined) return false
    const head = decodeHead(record.key, record.value).unwrapOr(undefined)
    return head?.epoch === this._by.epoch && head.owner === this._by.owner
  }

  private async _untilAnswered<T> (ask: () => Promise<Result<T, StoreError>>): Promise<Result<T, FencedError>> {
    for (;;) {
      if (this._cancelled) return err(this._lost())
      const answer: Result<T, StepError> = await ask()
      if (answer.isOk()) return ok(answer.value)
      await this._pause()
    }
  }

  private async _pause (): Promise<void> {
    await new Promise<void>((resolve) => { this._timers.after(this._retryMs, resolve) })
  }

  private _lost (): FencedError {
    return new FencedError('slice.takeOver', this._by.shardId, this._by.epoch)
  }
}
