/**
 * Checks a run of a proof, only by the records of the callers and of the stand-ins.
 */

import type { Cell } from '../support/Cell.js'
import type { ICallRecord, IRunnerRecord } from './Types.js'

/** At most this many violations are listed; the others are only counted. */
const MAX_LISTED_VIOLATIONS = 10

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

export class RecordChecker {
  public readonly starts: IRunnerRecord[] = []
  private readonly _violations: string[] = []
  private readonly _startsByRequest = new Map<string, IRunnerRecord[]>()
  private _runners: readonly IRunnerDump[] = []
  private _workers: readonly IWorkerDump[] = []

  private constructor (private readonly _records: readonly ICallRecord[]) {}

  /** Reads the records of the stand-ins. */
  public static async collect (cell: Cell, records: readonly ICallRecord[]): Promise<RecordChecker> {
    const checker = new RecordChecker(records)
    const urlsOf = (kind: 'runner' | 'worker'): readonly string[] => cell.hosts.filter((host) => host.kind === kind).map((host) => host.url)
    checker._runners = await Promise.all(urlsOf('runner').map(async (url) => await cell.dump<IRunnerDump>(url)))
    checker._workers = await Promise.all(urlsOf('worker').map(async (url) => await cell.dump<IWorkerDump>(url)))
    for (const runner of checker._runners) {
      for (const record of runner.records) checker._addStart({ ...record, hostId: runner.hostId })
    }
    return checker
  }

  public get violations (): readonly string[] {
    if (this._violations.length <= MAX_LISTED_VIOLATIONS) return this._violations
    return [...this._violations.slice(0, MAX_LISTED_VIOLATIONS), `and ${this._violations.length - MAX_LISTED_VIOLATIONS} more`]
  }

  public addViolation (violation: string): void {
    this._violations.push(violation)
  }

  /** The number of calls by outcome and reason. */
  public outcomes (): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {}
    for (const { reply, broken } of this._records) {
      const name = broken !== undefined ? 'broken' : `${reply?.outcome ?? 'open'}${reply?.reason === undefined ? '' : `/${reply.reason}`}`
      counts[name] = (counts[name] ?? 0) + 1
    }
    return counts
  }

  /** By gateway, the seconds since the first call in which calls were sent that ended with this reason. */
  public secondsByGateway (reason: string): Readonly<Record<string, readonly number[]>> {
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

  /** No runner exceeds its slots or connections, no worker exceeds its capacity, and no worker runs a task twice at once. */
  public checkCapacity (): this {
    for (const { hostId, mostRunning, slots, overConnections, refusedSlot } of this._runners) {
      if (refusedSlot > 0) this.addViolation(`${hostId} was sent ${refusedSlot} calls with all its slots taken, and refused them`)
      if (mostRunning > slots) this.addViolation(`${hostId} ran ${mostRunning} on ${slots} slots`)
      if (overConnections > 0) this.addViolation(`${hostId} was over its connections ${overConnections} times`)
    }
    for (const { hostId, overCapacity, doubleRuns } of this._workers) {
      if (overCapacity > 0) this.addViolation(`${hostId} was over its capacity ${overCapacity} times`)
      if (doubleRuns > 0) this.addViolation(`${hostId} ran a task twice at once ${doubleRuns} times`)
    }
    return this
  }

  /** A request that was only ever answered `notRun` or `refused` has no start. */
  public checkNotRun (): this {
    for (const [key, records] of this._recordsByRequest()) {
      const outcomes = records.map(({ reply }) => reply?.outcome)
      const allNotRun = outcomes.length > 0 && outcomes.every((outcome) => outcome === 'notRun' || outcome === 'refused')
      const starts = this._startsByRequest.get(key)?.length ?? 0
      if (allNotRun && starts > 0) this.addViolation(`${key} was answered ${outcomes.join(', ')} (${records[0]?.reply?.reason}) and started ${starts} times`)
    }
    return this
  }

  /** No request to these services has more than one start. */
  public checkAtMostOnce (services: readonly string[]): this {
    for (const [key, starts] of this._startsByRequest) {
      if (starts.length > 1 && services.includes(starts[0]?.service ?? '')) {
        this.addViolation(`${key} (${starts[0]?.service}) started ${starts.length} times: ${starts.map((start) => start.attemptId).join(', ')}`)
      }
    }
    return this
  }

  /** Every successful answer is the complete echo of its own request. */
  public checkWholeAnswers (): this {
    for (const { call, reply } of this._records) {
      if (reply?.outcome !== 'done' || reply.status !== 200) continue
      if (!reply.body.equals(call.body as Buffer) || reply.contentType !== call.contentType) {
        this.addViolation(`${call.requestId} got ${reply.body.length} bytes of ${reply.contentType} instead of ${call.body?.length} of ${call.contentType}`)
      }
    }
    return this
  }

  /** Every call ended, and its connection broke only where `mayBreak` allows it. */
  public checkEnded (open: readonly ICallRecord[], mayBreak: (record: ICallRecord) => boolean): this {
    for (const { call, gateway } of open) this.addViolation(`${call.requestId} through ${gateway} never ended`)
    for (const record of this._records) {
      if (record.broken !== undefined && !mayBreak(record)) this.addViolation(`${record.call.requestId} through ${record.gateway} broke: ${record.broken}`)
    }
    return this
  }

  private _addStart (start: IRunnerRecord): void {
    this.starts.push(start)
    const key = requestKey(start.caller, start.requestId)
    this._startsByRequest.set(key, [...this._startsByRequest.get(key) ?? [], start])
  }

  private _recordsByRequest (): ReadonlyMap<string, readonly ICallRecord[]> {
    const grouped = new Map<string, ICallRecord[]>()
    for (const record of this._records) {
      const key = requestKey(record.call.caller, record.call.requestId)
      grouped.set(key, [...grouped.get(key) ?? [], record])
    }
    return grouped
  }
}

function requestKey (caller: string, requestId: string): string {
  return `${caller} ${requestId}`
}
