/**
 * The platform's key-value service over HTTP. Says truthfully what is known of each call: a write without an answer
 * may have taken effect, and whoever made it reads back before deciding.
 */

import { err, ok } from 'neverthrow'
import { Pool } from 'undici'

import type { Result, ResultAsync } from 'neverthrow'
import type * as z from 'zod'
import { AmbiguousError, ConflictError, RefusedError, UnreachableError } from '../common/Errors.js'
import { parseAnswer, storeGetAnswer, storeLeaseAnswer, storeRangeAnswer, storeWatchAnswer, storeWriteAnswer } from './Answers.js'
import { exchange } from './HttpExchange.js'
import { StoreWatch } from './StoreWatch.js'

import type { IDisposable, IRandom, ITimers } from '../common/Types.js'
import type { HttpError, IHttpResponse } from './HttpExchange.js'
import type { IWatchPoll, IWatchSource } from './StoreWatch.js'
import type { IKeyValueStore, IStoreRange, IStoreRecord, IStoreWatchListener, StoreError } from './Types.js'

export interface IKeyValueClientOptions {
  /** Base URL, by IP number. */
  readonly url: string
  /** The longest that a call may take, in milliseconds. */
  readonly callTimeoutMs: number
  /** How long a watch waits in the store before it is asked again, in milliseconds: longer means fewer calls. */
  readonly watchWaitMs: number
  /** Connections for calls; each watch has one of its own besides. */
  readonly maxConnections: number
}

export const KEY_VALUE_DEFAULTS: Omit<IKeyValueClientOptions, 'url'> = { callTimeoutMs: 2000, watchWaitMs: 20_000, maxConnections: 4 }

type CallKind = 'read' | 'write'

interface IStoreCall {
  readonly step: string
  readonly path: string
  readonly kind: CallKind
  readonly ask: Readonly<Record<string, unknown>>
  readonly timeoutMs?: number
  readonly signal?: AbortSignal
}

const PEER = 'store'
const JSON_HEADERS = ['content-type', 'application/json']
/** One lost answer is no outage; a second failure in a row counts as one. */
const FAILURES_TO_UNREACHABLE = 2
const STATUS_CONFLICT = 409
const STATUS_GONE = 410
const FIRST_ERROR_STATUS = 400
const FIRST_SERVER_ERROR_STATUS = 500

export class KeyValueClient implements IKeyValueStore, IWatchSource, IDisposable {
  private readonly _calls: Pool
  private readonly _polls: Pool
  private readonly _watches = new Set<StoreWatch>()
  private _callCount = 0
  private _failures = 0

  public constructor (
    private readonly _options: IKeyValueClientOptions,
    private readonly _timers: ITimers,
    private readonly _random: IRandom
  ) {
    const common = { headersTimeout: 0, bodyTimeout: 0, connectTimeout: _options.callTimeoutMs }
    this._calls = new Pool(_options.url, { ...common, connections: _options.maxConnections })
    this._polls = new Pool(_options.url, common)
  }

  public get callCount (): number {
    return this._callCount
  }

  public get reachable (): boolean {
    return this._failures < FAILURES_TO_UNREACHABLE
  }

  public get (key: string): ResultAsync<IStoreRecord | undefined, StoreError> {
    return this._parsed({ step: 'store.get', path: '/kv/get', kind: 'read', ask: { key } }, storeGetAnswer)
      .map((answer) => answer.record)
  }

  public range (prefix: string): ResultAsync<IStoreRange, StoreError> {
    return this._parsed({ step: 'store.range', path: '/kv/range', kind: 'read', ask: { prefix } }, storeRangeAnswer)
  }

  public compareAndSwap (
    key: string, expectedModRevision: number, value: string | undefined, leaseId?: string
  ): ResultAsync<number, StoreError | ConflictError> {
    const ask = { key, expectedModRevision, value, leaseId }
    return this._parsed({ step: 'store.compareAndSwap', path: '/kv/cas', kind: 'write', ask }, storeWriteAnswer)
      .map((answer) => answer.modRevision)
  }

  public grantLease (ttlMs: number): ResultAsync<string, StoreError> {
    return this._parsed({ step: 'store.grantLease', path: '/lease/grant', kind: 'write', ask: { ttlMs } }, storeLeaseAnswer)
      .map((answer) => answer.leaseId)
  }

  public keepAlive (leaseId: string): ResultAsync<void, StoreError> {
    return this._call({ step: 'store.keepAlive', path: '/lease/keepalive', kind: 'write', ask: { leaseId } }).map(nothing)
  }

  public revokeLease (leaseId: string): ResultAsync<void, StoreError> {
    return this._call({ step: 'store.revokeLease', path: '/lease/revoke', kind: 'write', ask: { leaseId } }).map(nothing)
  }

  public watch (prefix: string, afterRevision: number, listener: IStoreWatchListener): IDisposable {
    const watch = new StoreWatch(this, this._timers, this._random, prefix, afterRevision, listener)
    this._watches.add(watch)
    watch.start()
    if (!this.reachable) listener.onReachable(false)
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
      step: 'store.watch', path: '/kv/watch', kind: 'read', ask: { prefix, afterRevision, waitMs }, timeoutMs, signal
    }
    return this._send(call).andThen((answer) => {
      if (answer.status === STATUS_GONE) return ok(undefined)
      return this._checked(call, answer).andThen(() => this._parse(call, answer, storeWatchAnswer))
    })
  }

  public dispose (): void {
    for (const watch of this._watches) watch.dispose()
    this._watches.clear()
    this._calls.destroy().catch(() => {})
    this._polls.destroy().catch(() => {})
  }

  private _parsed<T> (call: IStoreCall, schema: z.ZodType<T>): ResultAsync<T, StoreError> {
    return this._call(call).andThen((answer) => this._parse(call, answer, schema))
  }

  private _parse<T> (call: IStoreCall, answer: IHttpResponse, schema: z.ZodType<T>): Result<T, StoreError> {
    return parseAnswer(schema, answer.body).mapErr((what) => noAnswer(call, what))
  }

  private _call (call: IStoreCall): ResultAsync<IHttpResponse, StoreError> {
    return this._send(call).andThen((answer) => this._checked(call, answer))
  }

  private _send (call: IStoreCall): ResultAsync<IHttpResponse, StoreError> {
    this._callCount += 1
    return exchange(call.signal === undefined ? this._calls : this._polls, {
      step: call.step,
      peer: PEER,
      method: 'POST',
      path: call.path,
      headers: JSON_HEADERS,
      body: JSON.stringify(call.ask),
      timeoutMs: call.timeoutMs ?? this._options.callTimeoutMs,
      signal: call.signal
    })
      .andTee((answer) => { this._noteOutcome(answer.status < FIRST_SERVER_ERROR_STATUS) })
      .orTee(() => { if (call.signal?.aborted !== true) this._noteOutcome(false) })
      .mapErr((error) => truthful(call, error))
  }

  private _checked (call: IStoreCall, answer: IHttpResponse): Result<IHttpResponse, StoreError> {
    if (answer.status < FIRST_ERROR_STATUS) return ok(answer)
    if (answer.status >= FIRST_SERVER_ERROR_STATUS) return err(noAnswer(call, `status ${answer.status}`))
    if (answer.status === STATUS_CONFLICT) return err(new ConflictError(call.step, PEER, 'another writer was first'))
    return err(new RefusedError(call.step, PEER, `status ${answer.status}`))
  }

  private _noteOutcome (success: boolean): void {
    const before = this.reachable
    this._failures = success ? 0 : this._failures + 1
    if (this.reachable === before) return
    for (const watch of this._watches) {
      watch.listener.onReachable(this.reachable)
      if (this.reachable) watch.restart()
    }
  }
}

/** A read changes nothing, so a read without an answer is no more than a store that wasn't reached. */
function truthful (call: IStoreCall, error: HttpError): StoreError {
  if (call.kind === 'write' || !(error instanceof AmbiguousError)) return error
  return new UnreachableError(call.step, PEER, error.message, { cause: error })
}

function noAnswer (call: IStoreCall, what: string): StoreError {
  if (call.kind === 'write') return new AmbiguousError(call.step, PEER, what)
  return new UnreachableError(call.step, PEER, what)
}

function nothing (): undefined {
  return undefined
}
