/**
 * An HTTP client for tests, scripts and benchmarks that acts as a caller: sends requests and jobs and reads the final answer.
 */

import { Pool } from 'undici'

import type { IJobSpec, IJobStatus } from '../../src/common/protocol/Types.js'

const JOB_POLL_MS = 25

export interface ICall {
  readonly service: string
  readonly caller: string
  readonly requestId: string
  readonly idempotent?: boolean
  readonly deadlineMs?: number
  readonly contentType?: string
  readonly body?: Uint8Array | string
}

export interface IReply {
  readonly status: number
  readonly outcome: string
  readonly reason: string | undefined
  readonly upstream: string | undefined
  readonly region: string | undefined
  readonly waitMs: number | undefined
  readonly retryAfterMs: number | undefined
  readonly contentType: string | undefined
  readonly body: Buffer
  readonly totalMs: number
}

export class CallerClient {
  private readonly _pool: Pool

  public constructor (url: string, connections = 64) {
    this._pool = new Pool(url, { connections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  }

  /** Sends a request; rejects when the connection breaks before the whole answer has arrived. */
  public async send (call: ICall): Promise<IReply> {
    const headers: Record<string, string> = { 'x-jackdawreel-caller': call.caller, 'x-jackdawreel-request-id': call.requestId }
    if (call.idempotent !== undefined) headers['x-jackdawreel-idempotent'] = String(call.idempotent)
    if (call.deadlineMs !== undefined) headers['x-jackdawreel-deadline-ms'] = String(call.deadlineMs)
    headers['content-type'] = call.contentType ?? 'application/octet-stream'
    return await this.sendRaw('POST', `/v1/requests/${call.service}`, headers, call.body)
  }

  public async sendRaw (
    method: 'GET' | 'POST' | 'DELETE', path: string, headers: Record<string, string> = {}, body?: Uint8Array | string): Promise<IReply> {
    const startedAtMs = performance.now()
    const answer = await this._pool.request({ method, path, headers, ...(body === undefined ? {} : { body }) })
    const bytes = Buffer.from(await answer.body.arrayBuffer())
    const header = (name: string): string | undefined => answer.headers[name]?.toString()
    const number = (name: string): number | undefined => header(name) === undefined ? undefined : Number(header(name))
    return {
      status: answer.statusCode,
      outcome: header('x-jackdawreel-outcome') ?? 'none',
      reason: header('x-jackdawreel-reason'),
      upstream: header('x-jackdawreel-upstream'),
      region: header('x-jackdawreel-region'),
      waitMs: number('x-jackdawreel-wait-ms'),
      retryAfterMs: number('x-jackdawreel-retry-after-ms'),
      contentType: header('content-type'),
      body: bytes,
      totalMs: performance.now() - startedAtMs
    }
  }

  public async submitJob (job: IJobSpec): Promise<IReply> {
    return await this.sendRaw('POST', '/v1/jobs', { 'content-type': 'application/json' }, JSON.stringify(job))
  }

  /** The status of a job, or undefined if the answer is not 200, for example while the job's owner can't be reached. */
  public async jobStatus (jobId: string): Promise<IJobStatus | undefined> {
    const reply = await this.sendRaw('GET', `/v1/jobs/${jobId}`)
    return reply.status === 200 ? JSON.parse(reply.body.toString()) as IJobStatus : undefined
  }

  public async cancelJob (jobId: string): Promise<IReply> {
    return await this.sendRaw('DELETE', `/v1/jobs/${jobId}`)
  }

  /** Polls the status of a job; resolves with the first one that satisfies `isReached`, or with the last one after `limitMs`. */
  public async waitForJob (jobId: string, isReached: (status: IJobStatus) => boolean, limitMs = 10_000): Promise<IJobStatus | undefined> {
    const untilMs = performance.now() + limitMs
    for (;;) {
      const status = await this.jobStatus(jobId)
      if ((status !== undefined && isReached(status)) || performance.now() > untilMs) return status
      await new Promise((resolve) => setTimeout(resolve, JOB_POLL_MS))
    }
  }

  public async close (): Promise<void> {
    await this._pool.close()
  }

  /** Closes all connections at once, without waiting for open requests. */
  public destroy (): void {
    this._pool.destroy().catch(() => {})
  }
}
