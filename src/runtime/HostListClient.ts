/**
 * Client of the platform's host list over HTTP.
 */

import { err, ok } from 'neverthrow'
import { Client } from 'undici'

import type { Result, ResultAsync } from 'neverthrow'
import { UnreachableError } from '../common/Errors.js'
import { hostListResponse, hostRecord, hostIdentity, parseResponse } from './ResponseSchemas.js'
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
  private _lastRecords: ReadonlyMap<string, IHostRecord> = new Map()

  public constructor (private readonly _options: IHostListClientOptions) {
    this._client = new Client(_options.url, { headersTimeout: 0, bodyTimeout: 0, connectTimeout: _options.callTimeoutMs })
  }

  /** The number of malformed records in the last response, for the state dump. */
  public get malformedRecords (): number {
    return this._malformedRecords
  }

  public list (): ResultAsync<readonly IHostRecord[], StoreError> {
    const request = { step: STEP, peer: PEER, method: 'GET', path: '/hosts', headers: [], timeoutMs: this._options.callTimeoutMs } as const
    return exchange(this._client, request)
      .mapErr((error) => new UnreachableError(STEP, PEER, error.message, { cause: error }))
      .andThen((response) => this._parseRecords(response))
  }

  public dispose (): void {
    this._client.destroy().catch(() => {})
  }

  /**
   * Replaces a malformed record by the last valid one of the same host. A malformed record must not hide the other hosts.
   * Its own host must not count as gone either, because the host's tasks would be started elsewhere while they still run.
   */
  private _parseRecords (response: IHttpResponse): Result<readonly IHostRecord[], StoreError> {
    if (response.status !== STATUS_OK) return err(new UnreachableError(STEP, PEER, `status ${response.status}`))
    return parseResponse(hostListResponse, response.body)
      .mapErr((reason) => new UnreachableError(STEP, PEER, reason))
      .andThen(({ hosts }) => {
        const parsed = hosts.map((host) => hostRecord.safeParse(host))
        this._malformedRecords = parsed.filter((record) => !record.success).length
        const records = hosts.map((host, index) => parsed[index]?.data ?? this._findLastRecord(host)).filter((record) => record !== undefined)
        this._lastRecords = new Map(records.map((record) => [record.hostId, record]))
        return ok(records)
      })
  }

  private _findLastRecord (host: unknown): IHostRecord | undefined {
    const identity = hostIdentity.safeParse(host)
    return identity.success ? this._lastRecords.get(identity.data.hostId) : undefined
  }
}
