/**
 * Judges a run by the records of callers and stand-ins alone.
 */

import type { Cell } from '../support/Cell.js'
import type { ICallRecord, IRunnerRecord } from './Types.js'

/** Violations listed in full; the rest is only counted. */
const MAX_LISTED = 10

interface IRunnerDump {
  readonly hostId: string
  readonly slots: number
  readonly mostRunning: number
  readonly overConnections: number
  readonly refusedSlot: number
  readonly records: readonly Omit<IRunnerRecord, 'hostId'>[]
}

interface IWorkerDump {
  readonly hostId: string
  readonly overCapacity: number
  readonly doubleRuns: number
}

export class Judge {
  public readonly starts: IRunnerRecord[] = []
  private readonly _violations: string[] = []
  private readonly _startsByRequest = new Map<string, IRunnerRecord[]>()
  private _runners: readonly IRunnerDump[] = []
  private _workers: readonly IWorkerDump[] = []

  private constructor (private readonly _records: readonly ICallRecord[]) {}

  /** Collects what the stand-ins recorded. */
  public static async collect (cell: Cell, records: readonly ICallRecord[]): Promise<Judge> {
    const judge = new Judge(records)
    const of = (kind: 'runner' | 'worker'): readonly string[] => cell.hosts.filter((host) => host.kind === kind).map((host) => host.url)
    judge._runners = await Promise.all(of('runner').map(async (url) => await cell.dump<IRunnerDump>(url)))
    judge._workers = await Promise.all(of('worker').map(async (url) => await cell.dump<IWorkerDump>(url)))
    for (const runner of judge._runners) {
      for (const record of runner.records) judge._addStart({ ...record, hostId: runner.hostId })
    }
    return judge
  }

  public get violations (): readonly string[] {
    if (this._violations.length <= MAX_LISTED) return this._violations
    return [...this._violations.slice(0, MAX_LISTED), `and ${this._violations.length - MAX_LISTED} more`]
  }

  public add (violation: string): void {
    this._violations.push(violation)
  }

  /** How the calls ended, by outcome and reason. */
  public outcomes (): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {}
    for (const { reply, broken } of this._records) {
      const name = broken !== undefined ? 'broken' : `${reply?.outcome ?? 'open'}${reply?.reason === undefined ? '' : `/${reply.reason}`}`
      counts[name] = (counts[name] ?? 0) + 1
    }
    return counts
  }

  /** When calls ended so, in seconds since the first call, by gateway. */
  public timesOf (reason: string): Readonly<Record<string, readonly number[]>> {
    const times: Record<string, number[]> = {}
    const firstMs = this._records[0]?.sentAtMs ?? 0
    for (const { gateway, sentAtMs, reply } of this._records) {
      if (reply?.reason !== reason) continue
      const seconds = Math.floor((sentAtMs - firstMs) / 1000)
      const known = times[gateway] ??= []
      if (!known.includes(seconds)) known.push(seconds)
    }
    return times
  }

  /** No runner over its slots or connections, no worker over its capacity, no task on two hosts. */
  public checkCapacity (): this {
    for (const { hostId, mostRunning, slots, overConnections, refusedSlot } of this._runners) {
      if (refusedSlot > 0) this.add(`${hostId} was sent ${refusedSlot} calls with all its slots taken, and refused them`)
      if (mostRunning > slots) this.add(`${hostId} ran ${mostRunning} on ${slots} slots`)
      if (overConnections > 0) this.add(`${hostId} was over its connections ${overConnections} times`)
    }
    for (const { hostId, overCapacity, doubleRuns } of this._workers) {
      if (overCapacity > 0) this.add(`${hostId} was over its capacity ${overCapacity} times`)
      if (doubleRuns > 0) this.add(`${hostId} ran a task twice at once ${doubleRuns} times`)
    }
    return this
  }

  /** What was told "not run" or "refused" has no start. */
  public checkNotRun (): this {
    for (const [key, records] of this._byRequest()) {
      const claims = records.map(({ reply }) => reply?.outcome)
      const allNotRun = claims.length > 0 && claims.every((outcome) => outcome === 'notRun' || outcome === 'refused')
      const starts = this._startsByRequest.get(key)?.length ?? 0
      if (allNotRun && starts > 0) this.add(`${key} was told ${claims.join(', ')} (${records[0]?.reply?.reason}) and started ${starts} times`)
    }
    return this
  }

  /** No id of these services has more than one start. */
  public checkAtMostOnce (services: readonly string[]): this {
    for (const [key, starts] of this._startsByRequest) {
      if (starts.length > 1 && services.includes(starts[0]?.service ?? '')) {
        this.add(`${key} (${starts[0]?.service}) started ${starts.length} times: ${starts.map((start) => start.attemptId).join(', ')}`)
      }
    }
    return this
  }

  /** The echo comes back whole, to its own caller. */
  public checkWhole (): this {
    for (const { call, reply } of this._records) {
      if (reply?.outcome !== 'done' || reply.status !== 200) continue
      if (!reply.body.equals(call.body as Buffer) || reply.contentType !== call.contentType) {
        this.add(`${call.requestId} got ${reply.body.length} bytes of ${reply.contentType} for its ${call.body?.length} of ${call.contentType}`)
      }
    }
    return this
  }

  /** Every call ended; a broken connection counts only where `mayBreak` allows it. */
  public checkEnded (open: readonly ICallRecord[], mayBreak: (record: ICallRecord) => boolean): this {
    for (const { call, gateway } of open) this.add(`${call.requestId} through ${gateway} never ended`)
    for (const record of this._records) {
      if (record.broken !== undefined && !mayBreak(record)) this.add(`${record.call.requestId} through ${record.gateway} broke: ${record.broken}`)
    }
    return this
  }

  private _addStart (start: IRunnerRecord): void {
    this.starts.push(start)
    const key = keyOf(start.caller, start.requestId)
    this._startsByRequest.set(key, [...this._startsByRequest.get(key) ?? [], start])
  }

  private _byRequest (): ReadonlyMap<string, readonly ICallRecord[]> {
    const grouped = new Map<string, ICallRecord[]>()
    for (const record of this._records) {
      const key = keyOf(record.call.caller, record.call.requestId)
      grouped.set(key, [...grouped.get(key) ?? [], record])
    }
    return grouped
  }
}

function keyOf (caller: string, requestId: string): string {
  return `${caller} ${requestId}`
}
