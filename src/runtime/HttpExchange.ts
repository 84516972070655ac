/**
 * One HTTP exchange over undici that knows, for certain, whether its request was ever written. Everything that the
 * system promises about "not run" rests on this difference, so no exchange is ever sent again from here.
 */

import { ResultAsync, err, ok } from 'neverthrow'

import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import { AmbiguousError, RefusedError, UnreachableError } from '../common/Errors.js'

export interface IHttpRequest {
  /** For errors: what is being done, and with whom. */
  readonly step: string
  readonly peer: string
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  /** Names and values in turn. */
  readonly headers: readonly string[]
  readonly body?: Uint8Array | string
  /** From the call to the whole answer, in milliseconds. */
  readonly timeoutMs: number
  /** The longest that nothing of an answer may come, in milliseconds; for answers that are large. Absent: as long as `timeoutMs`. */
  readonly silenceMs?: number
  readonly signal?: AbortSignal | undefined
}

export interface IHttpResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Uint8Array
}

/** `UnreachableError` and `RefusedError`: never written. `AmbiguousError`: written, and no whole answer came. */
export type HttpError = UnreachableError | AmbiguousError | RefusedError

type Settle = (result: Result<IHttpResponse, HttpError>) => void

const EMPTY_BODY = new Uint8Array(0)
const FIRST_FINAL_STATUS = 200
const STATUS_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])
const INVALID_ARGUMENT_CODE = 'UND_ERR_INVALID_ARG'

/** Sends `ask` once. Never rejects. */
export function exchange (dispatcher: Dispatcher, ask: IHttpRequest): ResultAsync<IHttpResponse, HttpError> {
  return new ResultAsync(new Promise((resolve) => {
    new HttpExchange(ask, resolve).start(dispatcher)
  }))
}

class HttpExchange implements Dispatcher.DispatchHandler {
  private _state: 'queued' | 'written' | 'settled' = 'queued'
  private _controller: Dispatcher.DispatchController | undefined
  private _timer: NodeJS.Timeout | undefined
  private _silence: NodeJS.Timeout | undefined
  private _status = 0
  private _headers: IncomingHttpHeaders = {}
  private _chunks: Uint8Array[] | undefined
  private _body: Uint8Array = EMPTY_BODY

  public constructor (private readonly _ask: IHttpRequest, private readonly _settle: Settle) {}

  public start (dispatcher: Dispatcher): void {
    const { method, path, headers, body, timeoutMs, silenceMs, signal } = this._ask
    if (signal?.aborted === true) {
      this._giveUp('aborted')
      return
    }
    this._timer = setTimeout(() => { this._giveUp(`no whole answer in ${timeoutMs} ms`) }, timeoutMs)
    if (silenceMs !== undefined) this._silence = setTimeout(() => { this._giveUp(`silent for ${silenceMs} ms`) }, silenceMs)
    signal?.addEventListener('abort', this._onAbort)
    dispatcher.dispatch({ method, path, headers: headers as string[], body: body ?? null }, this)
  }

  /**
   * Runs right before undici writes the request.
   *
   * Aborting here keeps the request off the wire. That covers an exchange that was given up while it waited for a
   * connection, whose caller has been told "not sent": written late, it would run all the same. It also covers a
   * second write of the same request, should undici ever resume it on a new connection: then the first one may
   * have run, and the second would run it twice.
   */
  public onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this._state === 'queued') {
      this._state = 'written'
      this._controller = controller
      return
    }
    this._giveUp('the connection closed')
    controller.abort(new Error('must not be written'))
  }

  public onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
    this._silence?.refresh()
    this._status = status
    this._headers = headers
  }

  public onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._silence?.refresh()
    if (this._body === EMPTY_BODY) {
      this._body = chunk
      return
    }
    this._chunks ??= [this._body]
    this._chunks.push(chunk)
  }

  /**
   * Takes the answer, if its end is beyond doubt.
   *
   * undici compares a declared length with the bytes that came. An answer that is delimited by the end of its
   * connection can't be told from one that was cut: a caller would get a short body with a good status.
   */
  public onResponseEnd (): void {
    if (!this._isDelimited()) {
      this._fail('the answer has neither a length nor chunks')
      return
    }
    const body = this._chunks === undefined ? this._body : Buffer.concat(this._chunks)
    this._finish(ok({ status: this._status, headers: this._headers, body }))
  }

  public onResponseError (_controller: Dispatcher.DispatchController, error: Error & { readonly code?: string }): void {
    if (this._state === 'queued' && error.code === INVALID_ARGUMENT_CODE) {
      this._finish(err(new RefusedError(this._ask.step, this._ask.peer, error.message, { cause: error })))
      return
    }
    this._fail(error.message, error)
  }

  private readonly _onAbort = (): void => { this._giveUp('aborted') }

  private _isDelimited (): boolean {
    if (this._status >= FIRST_FINAL_STATUS && STATUS_WITHOUT_BODY.has(this._status)) return true
    return this._headers['content-length'] !== undefined || this._headers['transfer-encoding'] !== undefined
  }

  private _giveUp (why: string): void {
    const controller = this._controller
    this._fail(why)
    controller?.abort(new Error(why))
  }

  private _fail (why: string, cause?: Error): void {
    const { step, peer } = this._ask
    const options = cause === undefined ? undefined : { cause }
    if (this._state === 'queued') this._finish(err(new UnreachableError(step, peer, why, options)))
    else this._finish(err(new AmbiguousError(step, peer, why, options)))
  }

  private _finish (result: Result<IHttpResponse, HttpError>): void {
    if (this._state === 'settled') return
    this._state = 'settled'
    clearTimeout(this._timer)
    clearTimeout(this._silence)
    this._ask.signal?.removeEventListener('abort', this._onAbort)
    this._settle(result)
  }
}
