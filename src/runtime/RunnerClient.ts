/**
 * Calls to runners. Each call is written at most once and ends in a truthful error: refused or never written means
 * that it did not run, anything else without a whole answer that it may have.
 */

import { err, ok } from 'neverthrow'
import { Client, Pool } from 'undici'

import type { Result, ResultAsync } from 'neverthrow'
import { runnerStatus } from './Answers.js'
import { sendCommand, statedRefusal } from './HostCommand.js'
import { exchange } from './HttpExchange.js'

import type { IDisposable } from '../common/Types.js'
import type { IHttpResponse, IHttpRequest } from './HttpExchange.js'
import type { IFence, IHostRecord, IRunnerAnswer, IRunnerCall, IRunnerClient, IRunnerStatus, UpstreamError } from './Types.js'

export interface IRunnerClientOptions {
  /** The longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs: number
  /** The longest wait for the answer to a fence, in milliseconds. */
  readonly controlTimeoutMs: number
  /** Larger answers are cut off and count as ambiguous, in bytes. */
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
/** A runner that changes hands is connected to by its old and its new owner for a while. */
const OWNERS_AT_ONCE = 2
const PLAIN_HEADER_VALUE = /^[\w.:@/-]*$/

export class RunnerClient implements IRunnerClient, IDisposable {
  private readonly _hosts = new Map<string, IRunnerConnections>()

  public constructor (private readonly _options: IRunnerClientOptions = RUNNER_CLIENT_DEFAULTS) {}

  public run (host: IHostRecord, call: IRunnerCall): ResultAsync<IRunnerAnswer, UpstreamError> {
    const ask: IHttpRequest = {
      step: 'runner.run',
      peer: host.hostId,
      method: 'POST',
      path: `/run/${encodeURIComponent(call.service)}`,
      headers: callHeaders(call),
      body: call.body,
      timeoutMs: call.timeoutMs,
      signal: call.signal
    }
    return exchange(this._connections(host).calls, ask).andThen((answer) => takeAnswer(ask, answer))
  }

  public fence (host: IHostRecord, fence: IFence): ResultAsync<IRunnerStatus, UpstreamError> {
    const command = { step: 'runner.fence', peer: host.hostId, path: '/fence', ask: fence, timeoutMs: this._options.controlTimeoutMs }
    return sendCommand(this._connections(host).control, command, runnerStatus)
  }

  /** Calls in progress go on: a shard that changes hands must not cut them off. Their own timeouts bound them. */
  public forget (hostId: string): void {
    const connections = this._hosts.get(hostId)
    if (connections === undefined) return
    this._hosts.delete(hostId)
    connections.calls.close().catch(() => {})
    connections.control.close().catch(() => {})
  }

  public dispose (): void {
    for (const hostId of [...this._hosts.keys()]) this.forget(hostId)
  }

  private _connections (host: IHostRecord): IRunnerConnections {
    const known = this._hosts.get(host.hostId)
    if (known?.url === host.url) return known
    this.forget(host.hostId)
    const made = this._connect(host)
    this._hosts.set(host.hostId, made)
    return made
  }

  /**
   * One connection a slot is all that can be in use, and one besides for fences, so that a takeover never waits behind
   * long calls. No owner uses more than its share of the runner's limit: beyond it the runner turns connections away,
   * and one would see calls fail while slots are free.
   */
  private _connect (host: IHostRecord): IRunnerConnections {
    const share = Math.floor(host.maxConnections / OWNERS_AT_ONCE) - CONTROL_CONNECTIONS
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

function callHeaders (call: IRunnerCall): readonly string[] {
  return [
    'content-type', call.contentType,
    'x-shard-id', headerValue(call.fence.shardId),
    'x-epoch', String(call.fence.epoch),
    'x-attempt-id', headerValue(call.attemptId),
    'x-request-id', headerValue(call.requestId),
    'x-caller', headerValue(call.caller)
  ]
}

/** Percent-encodes what a header can't carry as it is. */
function headerValue (text: string): string {
  return PLAIN_HEADER_VALUE.test(text) ? text : encodeURIComponent(text)
}

function takeAnswer (ask: IHttpRequest, answer: IHttpResponse): Result<IRunnerAnswer, UpstreamError> {
  const refusal = statedRefusal(ask, answer)
  if (refusal !== undefined) return err(refusal)
  const contentType = answer.headers['content-type'] ?? DEFAULT_CONTENT_TYPE
  return ok({ status: answer.status, contentType, body: answer.body })
}
