/**
 * Sends calls to runners. Each call is written at most once. A call that was refused or never written did not run; any other
 * call without a complete response may have run.
 */

import { err, ok } from 'neverthrow'
import { Client, Pool } from 'undici'

import type { Result, ResultAsync } from 'neverthrow'
import { runnerStatus } from './ResponseSchemas.js'
import { sendCommand, parseRefusal } from './HostCommand.js'
import { exchange } from './HttpExchange.js'

import type { IDisposable } from '../common/Types.js'
import type { IHttpResponse, IHttpRequest } from './HttpExchange.js'
import type { IFence, IHostRecord, IRunnerResponse, IRunnerCall, IRunnerClient, IRunnerStatus, UpstreamError } from './Types.js'

export interface IRunnerClientOptions {
  /** The longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs: number
  /** The longest wait for the response to a fence, in milliseconds. */
  readonly controlTimeoutMs: number
  /** The largest response, in bytes; a call with a larger one is aborted and counts as ambiguous. */
  readonly maxAnswerBytes: number
}

export const RUNNER_CLIENT_DEFAULTS: IRunnerClientOptions = {
  connectTimeoutMs: 1000, controlTimeoutMs: 2000, maxAnswerBytes: 16 * 1024 * 1024
}

interface IRunnerConnections {
  readonly url: string
  readonly calls: Pool
  readonly control: Client
}

const DEFAULT_CONTENT_TYPE = 'application/octet-stream'
const CONTROL_CONNECTIONS = 1
/** After a takeover, a runner has connections of both its old and its new owner for a while. */
const MAX_OWNERS = 2
const PLAIN_HEADER_VALUE = /^[\w.:@/-]*$/

export class RunnerClient implements IRunnerClient, IDisposable {
  private readonly _connectionsByHost = new Map<string, IRunnerConnections>()

  public constructor (private readonly _options: IRunnerClientOptions = RUNNER_CLIENT_DEFAULTS) {}

  public run (host: IHostRecord, call: IRunnerCall): ResultAsync<IRunnerResponse, UpstreamError> {
    const request: IHttpRequest = {
      step: 'runner.run',
      peer: host.hostId,
      method: 'POST',
      path: `/run/${encodeURIComponent(call.service)}`,
      headers: toHeaders(call),
      body: call.body,
      timeoutMs: call.timeoutMs,
      signal: call.signal
    }
    return exchange(this._getConnections(host).calls, request).andThen((response) => toRunnerAnswer(request, response))
  }

  public fence (host: IHostRecord, fence: IFence): ResultAsync<IRunnerStatus, UpstreamError> {
    const command = { step: 'runner.fence', peer: host.hostId, path: '/fence', body: fence, timeoutMs: this._options.controlTimeoutMs }
    return sendCommand(this._getConnections(host).control, command, runnerStatus)
  }

  /** Closes the connections after the calls in progress, which a takeover of the shard must not abort. Their timeouts bound the wait. */
  public forget (hostId: string): void {
    const connections = this._connectionsByHost.get(hostId)
    if (connections === undefined) return
    this._connectionsByHost.delete(hostId)
    connections.calls.close().catch(() => {})
    connections.control.close().catch(() => {})
  }

  public dispose (): void {
    for (const hostId of [...this._connectionsByHost.keys()]) this.forget(hostId)
  }

  private _getConnections (host: IHostRecord): IRunnerConnections {
    const known = this._connectionsByHost.get(host.hostId)
    if (known?.url === host.url) return known
    this.forget(host.hostId)
    const created = this._connect(host)
    this._connectionsByHost.set(host.hostId, created)
    return created
  }

  /**
   * Opens at most one connection per slot, and another one for fences, so that a takeover never waits behind long calls. No
   * owner uses more than its share of the runner's connection limit. Over the limit the runner refuses connections, and calls
   * would fail although slots are free.
   */
  private _connect (host: IHostRecord): IRunnerConnections {
    const share = Math.floor(host.maxConnections / MAX_OWNERS) - CONTROL_CONNECTIONS
    const connections = Math.max(1, Math.min(host.slots, share))
    const common = {
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
      connectTimeout: this._options.connectTimeoutMs,
      maxResponseSize: this._options.maxAnswerBytes
    }
    return { url: host.url, calls: new Pool(host.url, { ...common, connections }), control: new Client(host.url, common) }
  }
}

function toHeaders (call: IRunnerCall): readonly string[] {
  return [
    'content-type', call.contentType,
    'x-shard-id', encodeHeaderValue(call.fence.shardId),
    'x-epoch', String(call.fence.epoch),
    'x-attempt-id', encodeHeaderValue(call.attemptId),
    'x-request-id', encodeHeaderValue(call.requestId),
    'x-caller', encodeHeaderValue(call.caller)
  ]
}

/** Percent-encodes a text with characters that a header can't contain. */
function encodeHeaderValue (text: string): string {
  return PLAIN_HEADER_VALUE.test(text) ? text : encodeURIComponent(text)
}

function toRunnerAnswer (request: IHttpRequest, response: IHttpResponse): Result<IRunnerResponse, UpstreamError> {
  const refusal = parseRefusal(request, response)
  if (refusal !== undefined) return err(refusal)
  const contentType = response.headers['content-type'] ?? DEFAULT_CONTENT_TYPE
  return ok({ status: response.status, contentType, body: response.body })
}
