/**
 * Bounds what a process holds for requests that have no answer yet, in number and in bytes of their bodies.
 *
 * Made for callers that send large bodies faster than upstreams take them. A bound on the number alone lets ten thousand
 * requests of a megabyte each fill the memory: one sees the process killed, and every request in it broken at once. What
 * goes over a bound is refused before its body is read, and told when to come back.
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

  /** Takes room for one request; call the function that it gives when the request has its answer. The error names the bound. */
  public take (bytes: number): Result<() => void, 'requests' | 'bytes'> {
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
