/**
 * What a process answers and hears, by name of the message.
 */

import { Emitter } from '../common/Emitter.js'

import { RefusedError, UnreachableError } from '../common/Errors.js'
import type { IDisposable, IProcessIdentity } from '../common/Types.js'
import { FailureKind } from './Frames.js'

export type CallHandler = (ask: unknown, from: IProcessIdentity) => Promise<unknown>

interface IHeardCast {
  readonly cast: unknown
  readonly from: IProcessIdentity
}

export class HandlerTable {
  private readonly _handlers = new Map<string, CallHandler>()
  private readonly _casts = new Map<string, Emitter<IHeardCast>>()

  public setHandler (name: string, handler: CallHandler): void {
    this._handlers.set(name, handler)
  }

  public addListener (name: string, listener: (cast: unknown, from: IProcessIdentity) => void): IDisposable {
    let emitter = this._casts.get(name)
    if (emitter === undefined) {
      emitter = new Emitter<IHeardCast>()
      this._casts.set(name, emitter)
    }
    return emitter.event(({ cast, from }) => listener(cast, from))
  }

  public handler (name: string): CallHandler | undefined {
    return this._handlers.get(name)
  }

  /** Tells all listeners; what one of them throws reaches the caller. */
  public deliver (name: string, cast: unknown, from: IProcessIdentity): void {
    this._casts.get(name)?.fire({ cast, from })
  }
}

/**
 * What a handler's error says about its effect. Only an error that states that nothing took effect is passed on as
 * such; after any other the caller must assume that it may have.
 */
export function failureOf (error: unknown): FailureKind {
  if (error instanceof UnreachableError) return FailureKind.NotRun
  if (error instanceof RefusedError) return FailureKind.Refused
  return FailureKind.Broken
}
