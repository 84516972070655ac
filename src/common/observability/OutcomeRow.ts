/**
 * The counts and waiting times of one service and caller.
 */

import { LatencyHistogram } from './LatencyHistogram.js'

import type { IOutcomeRow } from './Types.js'

export type OutcomeCount = 'completed' | 'late' | 'refused' | 'notRun' | 'unknown'

export class OutcomeRow {
  public readonly counts: Record<OutcomeCount, number> = { completed: 0, late: 0, refused: 0, notRun: 0, unknown: 0 }
  public readonly waits = new LatencyHistogram()

  public constructor (public readonly service: string, public readonly caller: string) {}

  public get total (): number {
    return Object.values(this.counts).reduce((sum, count) => sum + count, 0)
  }

  public add (other: OutcomeRow): void {
    for (const name of Object.keys(this.counts) as OutcomeCount[]) this.counts[name] += other.counts[name]
    this.waits.add(other.waits)
  }

  public toPlain (): IOutcomeRow {
    return { service: this.service, caller: this.caller, ...this.counts, waitBuckets: this.waits.buckets() }
  }
}
