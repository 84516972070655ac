/**
 * What each service gave to each caller, so that operators see whether anyone is treated worse than others.
 */

import { OutcomeRow } from './OutcomeRow.js'

import type { FinalOutcome, IFinalAnswer } from '../Types.js'
import type { OutcomeCount } from './OutcomeRow.js'
import type { IOutcomeRow } from './Types.js'

/** The row of all callers that have none of their own. */
export const OTHER_CALLERS = 'others'

export class OutcomeCounters {
  /** By service and caller, the one seen last at the end. */
  private readonly _rows = new Map<string, OutcomeRow>()
  private readonly _others = new Map<string, OutcomeRow>()

  /**
   * @param _maxRows rows of single callers, each about 3 KB. Made for the load of a client that makes up a new caller
   * name for each request: without the bound, memory grows until the process is killed. The row that was silent for
   * the longest time is added to its service's row of other callers, so no outcome is lost from the sums.
   * There is one such row per service; services are few, because operators configure them.
   */
  public constructor (private readonly _maxRows: number) {}

  /**
   * Counts the final answer of one request.
   *
   * @param late that it was answered at its deadline or after; in doubt yes, so that the count is in the caller's favour
   */
  public noteOutcome (service: string, caller: string, answer: Pick<IFinalAnswer, 'outcome' | 'waitMs'>, late: boolean): void {
    const row = this._rowOf(service, caller)
    row.counts[countOf(answer.outcome, late)] += 1
    if (answer.waitMs !== undefined) row.waits.record(answer.waitMs)
  }

  /** The rows with the most outcomes first; `service` and `limit` narrow them down. */
  public rows (service?: string, limit = Infinity): readonly IOutcomeRow[] {
    const all = [...this._others.values(), ...this._rows.values()]
    const chosen = all.filter(row => service === undefined || row.service === service)
    return chosen.sort((a, b) => b.total - a.total).slice(0, limit).map(row => row.toPlain())
  }

  private _rowOf (service: string, caller: string): OutcomeRow {
    if (caller === OTHER_CALLERS) return this._othersOf(service)
    const key = `${service}\n${caller}`
    const known = this._rows.get(key)
    if (known === undefined) this._makeRoom()
    else this._rows.delete(key)
    const row = known ?? new OutcomeRow(service, caller)
    this._rows.set(key, row)
    return row
  }

  private _makeRoom (): void {
    if (this._rows.size < this._maxRows) return
    const oldest = this._rows.entries().next()
    if (oldest.done === true) return
    const [key, row] = oldest.value
    this._rows.delete(key)
    this._othersOf(row.service).add(row)
  }

  private _othersOf (service: string): OutcomeRow {
    const known = this._others.get(service)
    if (known !== undefined) return known
    const row = new OutcomeRow(service, OTHER_CALLERS)
    this._others.set(service, row)
    return row
  }
}

function countOf (outcome: FinalOutcome, late: boolean): OutcomeCount {
  if (outcome !== 'done') return outcome
  return late ? 'late' : 'completed'
}
