/**
 * Limits the requests in flight of a process, by their number and by the bytes of their bodies.
 *
 * When callers send large bodies faster than upstreams accept them, a limit on the number alone would let ten thousand
 * requests of a megabyte each fill the memory: the process would be killed, and every request in it would fail. A request
 * over a limit is refused before its body is read, and its caller is told when to retry.
 */

import { err, ok } from 'neverthrow'

import type { Result } from 'neverthrow'

export interface IInFlightBounds {
  readonly maxInFlight: number
  readonly maxInFlightBytes: number
}

export class InFlightLimit {
  private _count = 0
  private _bytes = 0

  public constructor (private readonly _bounds: IInFlightBounds) {}

  public get count (): number {
    return this._count
  }

  public get bytes (): number {
    return this._bytes
  }

  /** Reserves capacity for one request. Call the returned function once the request has its answer. The error names the exceeded limit. */
  public reserve (bytes: number): Result<() => void, 'requests' | 'bytes'> {
    if (this._count >= this._bounds.maxInFlight) return err('requests')
    if (this._bytes + bytes > this._bounds.maxInFlightBytes) return err('bytes')
    this._count += 1
    this._bytes += bytes
    return ok(() => {
      this._count -= 1
      this._bytes -= bytes
    })
  }
}
