/**
 * The platform's host list over HTTP.
 */

import { err, ok } from 'neverthrow'
import { Client } from 'undici'

import type { Result, ResultAsync } from 'neverthrow'
import { UnreachableError } from '../common/Errors.js'
import { hostListAnswer, hostRecord, namedHost, parseAnswer } from './Answers.js'
import { exchange } from './HttpExchange.js'

import type { IDisposable } from '../common/Types.js'
import type { IHttpResponse } from './HttpExchange.js'
import type { IHostList, IHostRecord, StoreError } from './Types.js'

export interface IHostListClientOptions {
  /** Base URL, by IP number. */
  readonly url: string
  readonly callTimeoutMs: number
}

const STEP = 'hostList.list'
const PEER = 'hostList'
const STATUS_OK = 200

export class HostListClient implements IHostList, IDisposable {
  private readonly _client: Client
  private _malformedRecords = 0
  private _known: ReadonlyMap<string, IHostRecord> = new Map()

  public constructor (private readonly _options: IHostListClientOptions) {
    this._client = new Client(_options.url, { headersTimeout: 0, bodyTimeout: 0, connectTimeout: _options.callTimeoutMs })
  }

  /** Malformed records that the last answer contained, for the dump. */
  public get malformedRecords (): number {
    return this._malformedRecords
  }

  public list (): ResultAsync<readonly IHostRecord[], StoreError> {
    const ask = { step: STEP, peer: PEER, method: 'GET', path: '/hosts', headers: [], timeoutMs: this._options.callTimeoutMs } as const
    return exchange(this._client, ask)
      .mapErr((error) => new UnreachableError(STEP, PEER, error.message, { cause: error }))
      .andThen((answer) => this._records(answer))
  }

  public dispose (): void {
    this._client.destroy().catch(() => {})
  }

  /**
   * Of a malformed record, the last good one of the same host stands. One bad entry must not hide all other hosts, nor
   * make its own host look gone: what runs there would be started elsewhere while it still runs.
   */
  private _records (answer: IHttpResponse): Result<readonly IHostRecord[], StoreError> {
    if (answer.status !== STATUS_OK) return err(new UnreachableError(STEP, PEER, `status ${answer.status}`))
    return parseAnswer(hostListAnswer, answer.body)
      .mapErr((what) => new UnreachableError(STEP, PEER, what))
      .andThen(({ hosts }) => {
        const parsed = hosts.map((host) => hostRecord.safeParse(host))
        this._malformedRecords = parsed.filter((record) => !record.success).length
        const records = hosts.map((host, index) => parsed[index]?.data ?? this._lastGood(host)).filter((record) => record !== undefined)
        this._known = new Map(records.map((record) => [record.hostId, record]))
        return ok(records)
      })
  }

  private _lastGood (host: unknown): IHostRecord | undefined {
    const named = namedHost.safeParse(host)
    return named.success ? this._known.get(named.data.hostId) : undefined
  }
}
