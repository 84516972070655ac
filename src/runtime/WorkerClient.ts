/**
 * Sends commands to workers. The long poll that renews the leases uses its own connection, so that a start or a stop never
 * waits behind it.
 */

import { Client } from 'undici'

import type { ResultAsync } from 'neverthrow'
import { workerStatus } from './ResponseSchemas.js'
import { sendCommand } from './HostCommand.js'

import type { IDisposable } from '../common/Types.js'
import type { IFence, IHostRecord, ITaskStart, IWorkerClient, IWorkerStatus, IWorkerSync, UpstreamError } from './Types.js'

export interface IWorkerClientOptions {
  /** The longest wait for a connection, in milliseconds. */
  readonly connectTimeoutMs: number
  /** The longest wait for a response, in milliseconds; a long poll may wait for its `waitMs` in addition. */
  readonly commandTimeoutMs: number
}

export const WORKER_CLIENT_DEFAULTS: IWorkerClientOptions = { connectTimeoutMs: 1000, commandTimeoutMs: 2000 }

interface IWorkerConnections {
  readonly url: string
  readonly commands: Client
  readonly polls: Client
}

export class WorkerClient implements IWorkerClient, IDisposable {
  private readonly _connectionsByHost = new Map<string, IWorkerConnections>()

  public constructor (private readonly _options: IWorkerClientOptions = WORKER_CLIENT_DEFAULTS) {}

  public fence (host: IHostRecord, fence: IFence): ResultAsync<IWorkerStatus, UpstreamError> {
    return this._sendCommand(host, 'worker.fence', '/fence', fence)
  }

  public start (host: IHostRecord, fence: IFence, tasks: readonly ITaskStart[]): ResultAsync<IWorkerStatus, UpstreamError> {
    return this._sendCommand(host, 'worker.start', '/start', { ...fence, tasks })
  }

  public stop (host: IHostRecord, fence: IFence, taskId: string, attempt: number): ResultAsync<IWorkerStatus, UpstreamError> {
    return this._sendCommand(host, 'worker.stop', '/stop', { ...fence, taskId, attempt })
  }

  public sync (host: IHostRecord, sync: IWorkerSync): ResultAsync<IWorkerStatus, UpstreamError> {
    const { fence, ...rest } = sync
    const timeoutMs = sync.waitMs + this._options.commandTimeoutMs
    const command = { step: 'worker.sync', peer: host.hostId, path: '/sync', body: { ...fence, ...rest }, timeoutMs }
    return sendCommand(this._getConnections(host).polls, command, workerStatus)
  }

  public forget (hostId: string): void {
    const connections = this._connectionsByHost.get(hostId)
    if (connections === undefined) return
    this._connectionsByHost.delete(hostId)
    connections.commands.destroy().catch(() => {})
    connections.polls.destroy().catch(() => {})
  }

  public dispose (): void {
    for (const hostId of [...this._connectionsByHost.keys()]) this.forget(hostId)
  }

  private _sendCommand (host: IHostRecord, step: string, path: string, body: object): ResultAsync<IWorkerStatus, UpstreamError> {
    const command = { step, peer: host.hostId, path, body, timeoutMs: this._options.commandTimeoutMs }
    return sendCommand(this._getConnections(host).commands, command, workerStatus)
  }

  private _getConnections (host: IHostRecord): IWorkerConnections {
    const known = this._connectionsByHost.get(host.hostId)
    if (known?.url === host.url) return known
    this.forget(host.hostId)
    const common = { headersTimeout: 0, bodyTimeout: 0, pipelining: 1, connectTimeout: this._options.connectTimeoutMs }
    const created = { url: host.url, commands: new Client(host.url, common), polls: new Client(host.url, common) }
    this._connectionsByHost.set(host.hostId, created)
    return created
  }
}
