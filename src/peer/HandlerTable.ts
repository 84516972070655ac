/**
 * The call handlers and cast listeners of a process, by message name.
 */

import { Emitter } from '../common/Emitter.js'

import { RefusedError, UnreachableError } from '../common/Errors.js'
import type { IDisposable, IProcessIdentity } from '../common/Types.js'
import { FailureKind } from './Frames.js'

export type CallHandler = (request: unknown, from: IProcessIdentity) => Promise<unknown>

interface IReceivedCast {
  readonly cast: unknown
  readonly from: IProcessIdentity
}

export class HandlerTable {
  private readonly _handlers = new Map<string, CallHandler>()
  private readonly _castEmitters = new Map<string, Emitter<IReceivedCast>>()

  public setHandler (name: string, handler: CallHandler): void {
    this._handlers.set(name, handler)
  }

  public addListener (name: string, listener: (cast: unknown, from: IProcessIdentity) => void): IDisposable {
    let emitter = this._castEmitters.get(name)
    if (emitter === undefined) {
      emitter = new Emitter<IReceivedCast>()
      this._castEmitters.set(name, emitter)
    }
    return emitter.event(({ cast, from }) => listener(cast, from))
  }

  public getHandler (name: string): CallHandler | undefined {
    return this._handlers.get(name)
  }

  /** Passes a cast to all its listeners. An error that a listener throws is passed on to the caller. */
  public deliver (name: string, cast: unknown, from: IProcessIdentity): void {
    this._castEmitters.get(name)?.fire({ cast, from })
  }
}

/**
 * The kind of failure to report to the caller, by the error that the handler threw. Only `UnreachableError` and
 * `RefusedError` state that nothing took effect. After any other error the caller must assume that the call may have
 * taken effect.
 */
export function failureKindOf (error: unknown): FailureKind {
  if (error instanceof UnreachableError) return FailureKind.NotRun
  if (error instanceof RefusedError) return FailureKind.Refused
  return FailureKind.HandlerFailed
}
