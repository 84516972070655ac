/**
 * Maps the store's answers to the write outcomes that the state machines accept.
 */

import { AmbiguousError, ConflictError } from '../../common/Errors.js'

import type { ResultAsync } from 'neverthrow'
import type { IStoreWrite, WriteOutcome } from '../../common/state/Types.js'
import type { IKeyValueStore, StoreError } from '../../runtime/Types.js'

export interface IWriteResult {
  readonly outcome: WriteOutcome
  /** The new revision if the outcome is `ok`, else 0. */
  readonly modRevision: number
  readonly error?: StoreError | ConflictError
}

function outcomeOf (error: StoreError | ConflictError): WriteOutcome {
  if (error instanceof ConflictError) return 'conflict'
  return error instanceof AmbiguousError ? 'ambiguous' : 'nothing'
}

/** Performs one compare-and-swap. */
export async function performWrite (store: IKeyValueStore, write: IStoreWrite): Promise<IWriteResult> {
  const answer: ResultAsync<number, StoreError | ConflictError> = store.compareAndSwap(write.key, write.expectedModRevision, write.value)
  return await answer.match(
    (modRevision): IWriteResult => ({ outcome: 'ok', modRevision }),
    (error): IWriteResult => ({ outcome: outcomeOf(error), modRevision: 0, error })
  )
}
