/**
 * Sends one HTTP request over undici, and reports for certain whether the request was ever written to a connection. The
 * scheduler answers "not run" to callers only because of this distinction, so no request is ever retried here.
 */

import { ResultAsync, err, ok } from 'neverthrow'

import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import { afterReading } from '../common/Clock.js'
import { AmbiguousError, RefusedError, UnreachableError } from '../common/Errors.js'
import type { IDisposable } from '../common/Types.js'

export interface IHttpRequest {
  /** The operation and the host or service it calls, for errors. */
  readonly step: string
  readonly peer: string
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  /** Names and values, alternating. */
  readonly headers: readonly string[]
  readonly body?: Uint8Array | string
  /** The longest time from the call to the complete response, in milliseconds. */
  readonly timeoutMs: number
  /** The longest time without any data of the response, in milliseconds, for large responses. Absent: only `timeoutMs` applies. */
  readonly silenceMs?: number
  readonly signal?: AbortSignal | undefined
}

export interface IHttpResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Uint8Array
}

/** `UnreachableError` and `RefusedError`: the request was never written. `AmbiguousError`: it was written, without a complete response. */
export type HttpError = UnreachableError | AmbiguousError | RefusedError

type Settle = (result: Result<IHttpResponse, HttpError>) => void

const EMPTY_BODY = new Uint8Array(0)
const FIRST_FINAL_STATUS = 200
const STATUS_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])
const INVALID_ARGUMENT_CODE = 'UND_ERR_INVALID_ARG'

/** Sends `request` once. Never rejects. */
export function exchange (dispatcher: Dispatcher, request: IHttpRequest): ResultAsync<IHttpResponse, HttpError> {
  return new ResultAsync(new Promise((resolve) => {
    new HttpExchange(request, resolve).start(dispatcher)
  }))
}

class HttpExchange implements Dispatcher.DispatchHandler {
  private _state: 'queued' | 'written' | 'settled' = 'queued'
  private _controller: Dispatcher.DispatchController | undefined
  private _timeout: IDisposable | undefined
  private _silence: IDisposable | undefined
  private _status = 0
  private _headers: IncomingHttpHeaders = {}
  private _chunks: Uint8Array[] | undefined
  private _body: Uint8Array = EMPTY_BODY

  public constructor (private readonly _request: IHttpRequest, private readonly _settle: Settle) {}

  public start (dispatcher: Dispatcher): void {
    const { method, path, headers, body, timeoutMs, signal } = this._request
    if (signal?.aborted === true) {
      this._abort('aborted')
      return
    }
    this._timeout = afterReading(timeoutMs, () => { this._abort(`no whole answer in ${timeoutMs} ms`) })
    this._restartSilence()
    signal?.addEventListener('abort', this._onAbort)
    dispatcher.dispatch({ method, path, headers: headers as string[], body: body ?? null }, this)
  }

  /**
   * Runs right before undici writes the request. Aborting here prevents the write, in two cases:
   *
   * The exchange was aborted while it waited for a connection, and its caller has been told that nothing was sent. Written
   * late, the request would still run.
   *
   * undici resumes the same request on a new connection. The first write may have taken effect, and the second one would run
   * the request twice.
   */
  public onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this._state === 'queued') {
      this._state = 'written'
      this._controller = controller
      return
    }
    this._abort('the connection was closed')
    controller.abort(new Error('the request must not be written any more'))
  }

  public onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this._restartSilence()
    this._status = status
    this._headers = headers
  }

  public onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._restartSilence()
    if (this._body === EMPTY_BODY) {
      this._body = chunk
      return
    }
    this._chunks ??= [this._body]
    this._chunks.push(chunk)
  }

  /**
   * Accepts the response if it is complete for certain.
   *
   * undici compares a declared length with the bytes that arrived. A response that ends with its connection can't be
   * distinguished from a truncated one, so a caller could get a truncated body with a success status.
   */
  public onResponseEnd (): void {
    if (!this._hasDelimiter()) {
      this._fail('the response has neither a content length nor chunks')
      return
    }
    const body = this._chunks === undefined ? this._body : Buffer.concat(this._chunks)
    this._finish(ok({ status: this._status, headers: this._headers, body }))
  }

  public onResponseError (_controller: Dispatcher.DispatchController, error: Error & { readonly code?: string }): void {
    if (this._state === 'queued' && error.code === INVALID_ARGUMENT_CODE) {
      this._finish(err(new RefusedError(this._request.step, this._request.peer, error.message, { cause: error })))
      return
    }
    this._fail(error.message, error)
  }

  private _restartSilence (): void {
    const { silenceMs } = this._request
    if (silenceMs === undefined) return
    this._silence?.dispose()
    this._silence = afterReading(silenceMs, () => { this._abort(`silent for ${silenceMs} ms`) })
  }

  private readonly _onAbort = (): void => { this._abort('aborted') }

  private _hasDelimiter (): boolean {
    if (this._status >= FIRST_FINAL_STATUS && STATUS_WITHOUT_BODY.has(this._status)) return true
    return this._headers['content-length'] !== undefined || this._headers['transfer-encoding'] !== undefined
  }

  private _abort (reason: string): void {
    const controller = this._controller
    this._fail(reason)
    controller?.abort(new Error(reason))
  }

  private _fail (reason: string, cause?: Error): void {
    const { step, peer } = this._request
    const options = cause === undefined ? undefined : { cause }
    if (this._state === 'queued') this._finish(err(new UnreachableError(step, peer, reason, options)))
    else this._finish(err(new AmbiguousError(step, peer, reason, options)))
  }

  private _finish (result: Result<IHttpResponse, HttpError>): void {
    if (this._state === 'settled') return
    this._state = 'settled'
    this._timeout?.dispose()
    this._silence?.dispose()
    this._request.signal?.removeEventListener('abort', this._onAbort)
    this._settle(result)
  }
}
