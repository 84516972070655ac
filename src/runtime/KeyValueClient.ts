/**
 * Client of the platform's key-value service over HTTP. A write without a response ends in `AmbiguousError`: it may have
 * taken effect, and its author must read the key back before deciding.
 */

import { err, ok } from 'neverthrow'
import { Pool } from 'undici'

import type { Result, ResultAsync } from 'neverthrow'
import type * as z from 'zod'
import { AmbiguousError, ConflictError, RefusedError, UnreachableError } from '../common/Errors.js'
import { parseResponse, storeGetResponse, storeLeaseResponse, storeRangeResponse, storeWatchResponse, storeWriteResponse } from './ResponseSchemas.js'
import { exchange } from './HttpExchange.js'
import { StoreWatch } from './StoreWatch.js'

import type { IDisposable, IRandom, ITimers } from '../common/Types.js'
import type { HttpError, IHttpResponse } from './HttpExchange.js'
import type { IWatchPoll, IWatchSource } from './StoreWatch.js'
import type { IKeyValueStore, IStoreRange, IStoreRecord, IStoreWatchListener, StoreError } from './Types.js'

export interface IKeyValueClientOptions {
  /** Base URL, by IP number. */
  readonly url: string
  /** The timeout of a call, in milliseconds. */
  readonly callTimeoutMs: number
  /** The duration of one long poll of a watch, in milliseconds; longer polls mean fewer calls. */
  readonly watchWaitMs: number
  /** Connections for calls; each watch has another one of its own. */
  readonly maxConnections: number
}

export const KEY_VALUE_DEFAULTS: Omit<IKeyValueClientOptions, 'url'> = { callTimeoutMs: 2000, watchWaitMs: 20_000, maxConnections: 4 }

type CallKind = 'read' | 'write'

interface IStoreCall {
  readonly step: string
  readonly path: string
  readonly kind: CallKind
  readonly body: Readonly<Record<string, unknown>>
  readonly timeoutMs?: number
  readonly signal?: AbortSignal
}

const PEER = 'store'
const JSON_HEADERS = ['content-type', 'application/json']
/** The store counts as unreachable after two failures in a row: a single lost response is no outage. */
const FAILURES_TO_UNREACHABLE = 2
const STATUS_CONFLICT = 409
const STATUS_GONE = 410
const FIRST_ERROR_STATUS = 400
const FIRST_SERVER_ERROR_STATUS = 500

export class KeyValueClient implements IKeyValueStore, IWatchSource, IDisposable {
  private readonly _callPool: Pool
  private readonly _watchPool: Pool
  private readonly _watches = new Set<StoreWatch>()
  private _callCount = 0
  private _failuresInARow = 0

  public constructor (
    private readonly _options: IKeyValueClientOptions,
    private readonly _timers: ITimers,
    private readonly _random: IRandom
  ) {
    const common = { headersTimeout: 0, bodyTimeout: 0, connectTimeout: _options.callTimeoutMs }
    this._callPool = new Pool(_options.url, { ...common, connections: _options.maxConnections })
    this._watchPool = new Pool(_options.url, common)
  }

  public get callCount (): number {
    return this._callCount
  }

  public get isReachable (): boolean {
    return this._failuresInARow < FAILURES_TO_UNREACHABLE
  }

  public get (key: string): ResultAsync<IStoreRecord | undefined, StoreError> {
    return this._callAndParse({ step: 'store.get', path: '/kv/get', kind: 'read', body: { key } }, storeGetResponse)
      .map((response) => response.record)
  }

  public range (prefix: string): ResultAsync<IStoreRange, StoreError> {
    return this._callAndParse({ step: 'store.range', path: '/kv/range', kind: 'read', body: { prefix } }, storeRangeResponse)
  }

  public compareAndSwap (
    key: string, expectedModRevision: number, value: string | undefined, leaseId?: string
  ): ResultAsync<number, StoreError | ConflictError> {
    const body = { key, expectedModRevision, value, leaseId }
    return this._callAndParse({ step: 'store.compareAndSwap', path: '/kv/cas', kind: 'write', body }, storeWriteResponse)
      .map((response) => response.modRevision)
  }

  public grantLease (ttlMs: number): ResultAsync<string, StoreError> {
    return this._callAndParse({ step: 'store.grantLease', path: '/lease/grant', kind: 'write', body: { ttlMs } }, storeLeaseResponse)
      .map((response) => response.leaseId)
  }

  public keepAlive (leaseId: string): ResultAsync<void, StoreError> {
    return this._call({ step: 'store.keepAlive', path: '/lease/keepalive', kind: 'write', body: { leaseId } }).map(toUndefined)
  }

  public revokeLease (leaseId: string): ResultAsync<void, StoreError> {
    return this._call({ step: 'store.revokeLease', path: '/lease/revoke', kind: 'write', body: { leaseId } }).map(toUndefined)
  }

  public watch (prefix: string, afterRevision: number, listener: IStoreWatchListener): IDisposable {
    const watch = new StoreWatch(this, this._timers, this._random, prefix, afterRevision, listener)
    this._watches.add(watch)
    watch.start()
    if (!this.isReachable) listener.onReachabilityChange(false)
    return {
      dispose: () => {
        this._watches.delete(watch)
        watch.dispose()
      }
    }
  }

  public poll (prefix: string, afterRevision: number, signal: AbortSignal): ResultAsync<IWatchPoll | undefined, StoreError> {
    const waitMs = this._options.watchWaitMs
    const timeoutMs = waitMs + this._options.callTimeoutMs
    const call: IStoreCall = {
      step: 'store.watch', path: '/kv/watch', kind: 'read', body: { prefix, afterRevision, waitMs }, timeoutMs, signal
    }
    return this._send(call).andThen((response) => {
      if (response.status === STATUS_GONE) return ok(undefined)
      return this._checkStatus(call, response).andThen(() => this._parse(call, response, storeWatchResponse))
    })
  }

  public dispose (): void {
    for (const watch of this._watches) watch.dispose()
    this._watches.clear()
    this._callPool.destroy().catch(() => {})
    this._watchPool.destroy().catch(() => {})
  }

  private _callAndParse<T> (call: IStoreCall, schema: z.ZodType<T>): ResultAsync<T, StoreError> {
    return this._call(call).andThen((response) => this._parse(call, response, schema))
  }

  private _parse<T> (call: IStoreCall, response: IHttpResponse, schema: z.ZodType<T>): Result<T, StoreError> {
    return parseResponse(schema, response.body).mapErr((reason) => toUnansweredError(call, reason))
  }

  private _call (call: IStoreCall): ResultAsync<IHttpResponse, StoreError> {
    return this._send(call).andThen((response) => this._checkStatus(call, response))
  }

  private _send (call: IStoreCall): ResultAsync<IHttpResponse, StoreError> {
    this._callCount += 1
    return exchange(call.signal === undefined ? this._callPool : this._watchPool, {
      step: call.step,
      peer: PEER,
      method: 'POST',
      path: call.path,
      headers: JSON_HEADERS,
      body: JSON.stringify(call.body),
      timeoutMs: call.timeoutMs ?? this._options.callTimeoutMs,
      signal: call.signal
    })
      .andTee((response) => { this._recordOutcome(response.status < FIRST_SERVER_ERROR_STATUS) })
      .orTee(() => { if (call.signal?.aborted !== true) this._recordOutcome(false) })
      .mapErr((error) => toStoreError(call, error))
  }

  private _checkStatus (call: IStoreCall, response: IHttpResponse): Result<IHttpResponse, StoreError> {
    if (response.status < FIRST_ERROR_STATUS) return ok(response)
    if (response.status >= FIRST_SERVER_ERROR_STATUS) return err(toUnansweredError(call, `status ${response.status}`))
    if (response.status === STATUS_CONFLICT) return err(new ConflictError(call.step, PEER, 'another writer was first'))
    return err(new RefusedError(call.step, PEER, `status ${response.status}`))
  }

  private _recordOutcome (success: boolean): void {
    const before = this.isReachable
    this._failuresInARow = success ? 0 : this._failuresInARow + 1
    if (this.isReachable === before) return
    for (const watch of this._watches) {
      watch.listener.onReachabilityChange(this.isReachable)
      if (this.isReachable) watch.restart()
    }
  }
}

/** A read changes nothing, so a read without a response is reported as `UnreachableError` and not as `AmbiguousError`. */
function toStoreError (call: IStoreCall, error: HttpError): StoreError {
  if (call.kind === 'write' || !(error instanceof AmbiguousError)) return error
  return new UnreachableError(call.step, PEER, error.message, { cause: error })
}

function toUnansweredError (call: IStoreCall, reason: string): StoreError {
  if (call.kind === 'write') return new AmbiguousError(call.step, PEER, reason)
  return new UnreachableError(call.step, PEER, reason)
}

function toUndefined (): undefined {
  return undefined
}
