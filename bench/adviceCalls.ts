/**
 * Sums up the calls for advice of a simulated run from its log: how many each step makes and why, and how long they take.
 */

import { SilentLogger } from '../src/common/observability/SilentLogger.js'

import type { ILogFields } from '../src/common/observability/Types.js'

/** The calls of one queue for one reason. */
export interface IAdviceCallRow {
  readonly queue: string
  readonly reason: string
  readonly steps: number
  /** Calls for each step of the queue that made any call. */
  readonly callsPerStep: number
  readonly hostsPerCall: number
  readonly waitP50S: number
  readonly waitP95S: number
  /** Calls of a step after its first for this reason, as a share of all. */
  readonly repeatedShare: number
}

interface IAnsweredCall {
  readonly step: string
  readonly hosts: number
  readonly waitMs: number
}

const MS_PER_S = 1000

export class AdviceCallLog extends SilentLogger {
  private readonly _calls = new Map<string, Map<string, IAnsweredCall[]>>()
  private readonly _steps = new Map<string, Set<string>>()

  public override info (event?: string, fields?: ILogFields): void {
    if (event !== 'advice.answered' || fields === undefined) return
    const queue = String(fields['queue'])
    const reason = String(fields['reason'])
    const step = `${fields.requestId ?? ''}.${fields.step ?? ''}`
    const byReason = getOrAdd(this._calls, queue, () => new Map<string, IAnsweredCall[]>())
    getOrAdd(byReason, reason, () => []).push({ step, hosts: Number(fields['hosts']), waitMs: Number(fields['waitMs']) })
    getOrAdd(this._steps, queue, () => new Set<string>()).add(step)
  }

  public rows (): readonly IAdviceCallRow[] {
    return [...this._calls].flatMap(([queue, byReason]) => [...byReason].map(([reason, calls]) => {
      const steps = new Set(calls.map(({ step }) => step)).size
      const waits = calls.map(({ waitMs }) => waitMs).sort((a, b) => a - b)
      const waitS = (share: number): number => (waits[Math.floor(waits.length * share)] ?? 0) / MS_PER_S
      return {
        queue,
        reason,
        steps,
        callsPerStep: calls.length / (this._steps.get(queue)?.size ?? 1),
        hostsPerCall: calls.reduce((sum, { hosts }) => sum + hosts, 0) / calls.length,
        waitP50S: waitS(0.5),
        waitP95S: waitS(0.95),
        repeatedShare: 1 - steps / calls.length
      }
    }))
  }
}

function getOrAdd<T> (map: Map<string, T>, key: string, create: () => T): T {
  const found = map.get(key)
  if (found !== undefined) return found
  const created = create()
  map.set(key, created)
  return created
}
