/**
 * The platform's host list over HTTP.
 */

import { err, ok } from 'neverthrow'
import { Client } from 'undici'

import type { Result, ResultAsync } from 'neverthrow'
import { UnreachableError } from '../common/Errors.js'
import { hostListAnswer, hostRecord, parseAnswer } from './Answers.js'
import { exchange } from './HttpExchange.js'

import type { IDisposable } from '../common/Types.js'
import type { IHttpAnswer } from './HttpExchange.js'
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
  private _skippedRecords = 0

  public constructor (private readonly _options: IHostListClientOptions) {
    this._client = new Client(_options.url, { headersTimeout: 0, bodyTimeout: 0, connectTimeout: _options.callTimeoutMs })
  }

  /** Malformed records that the last answer contained, for the dump. */
  public get skippedRecords (): number {
    return this._skippedRecords
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

  /** Skips records that are malformed: one bad entry must not hide all other hosts. */
  private _records (answer: IHttpAnswer): Result<readonly IHostRecord[], StoreError> {
    if (answer.status !== STATUS_OK) return err(new UnreachableError(STEP, PEER, `status ${answer.status}`))
    return parseAnswer(hostListAnswer, answer.body)
      .mapErr((what) => new UnreachableError(STEP, PEER, what))
      .andThen(({ hosts }) => {
        const records = hosts.map((host) => hostRecord.safeParse(host)).filter((parsed) => parsed.success)
        this._skippedRecords = hosts.length - records.length
        return ok(records.map((parsed) => parsed.data))
      })
  }
}
