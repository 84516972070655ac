/**
 * Ids of attempts, unique across processes and restarts, and the hash that distributes request ids over id shards.
 */

import type { Hash32, Hash64 } from './HashTypes.js'
import type { IProcessIdentity } from '../Types.js'

const ID_SHARD_PREFIX = 'ids/'
/** Separates the parts of a claim key; the header parser refuses it in callers' names and ids. */
const SEPARATOR = '\u0000'

/** Generates the attempt ids of one process. */
export class AttemptIds {
  private _sequence = 0

  public constructor (private readonly _self: IProcessIdentity) {}

  /** Returns `processId.incarnation.sequence`, with the incarnation and the sequence in base 36. */
  public next (): string {
    this._sequence += 1
    return `${this._self.processId}.${this._self.incarnation.toString(36)}.${this._sequence.toString(36)}`
  }
}

/** Maps callers' ids to claim keys and id shards; all processes must agree on `idShards`. */
export class IdHasher {
  public constructor (
    private readonly _hash64: Hash64,
    private readonly _hash32: Hash32,
    private readonly _idShards: number
  ) {}

  /** Two callers who choose the same request id get different keys. */
  public claimKey (caller: string, requestId: string): string {
    const text = `${caller}${SEPARATOR}${requestId}`
    return this._hash64(text) + this._hash32(text).toString(16).padStart(8, '0')
  }

  /** The id shard that stores a claim key or a job id. */
  public idShard (key: string): string {
    const shardNumber = this._hash32(key) % this._idShards
    return `${ID_SHARD_PREFIX}${shardNumber.toString().padStart(2, '0')}`
  }
}
