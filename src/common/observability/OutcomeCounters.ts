/**
 * Counts how requests ended, by service and caller, so that operators see whether any caller is treated worse than others.
 */

import { OutcomeRow } from './OutcomeRow.js'

import type { FinalOutcome, IFinalAnswer } from '../Types.js'
import type { OutcomeCount } from './OutcomeRow.js'
import type { IOutcomeRow } from './Types.js'

/** The caller name of the row for all callers that have no row of their own. */
export const OTHER_CALLERS = 'others'

export class OutcomeCounters {
  /** By service and caller, in the order of their last outcome. */
  private readonly _rows = new Map<string, OutcomeRow>()
  private readonly _otherCallers = new Map<string, OutcomeRow>()

  /**
   * @param _maxRows how many rows of single callers are kept, each about 3 KB. If a client makes up a new caller name for
   * each request, memory would grow without this limit until the process is killed. When the table is full, the least
   * recently used row is added to its service's row of other callers, so that the sums lose no outcome. There is one such
   * row per service; services are few, because operators configure them.
   */
  public constructor (private readonly _maxRows: number) {}

  /**
   * Counts the final answer of one request.
   *
   * @param late whether the request was answered at or after its deadline; true if in doubt, which favours the caller
   */
  public recordOutcome (service: string, caller: string, answer: Pick<IFinalAnswer, 'outcome' | 'waitMs'>, late: boolean): void {
    const row = this._rowOf(service, caller)
    row.counts[countName(answer.outcome, late)] += 1
    if (answer.waitMs !== undefined) row.waits.record(answer.waitMs)
  }

  /** The rows in descending order of outcomes; `service` and `limit` restrict them. */
  public rows (service?: string, limit = Infinity): readonly IOutcomeRow[] {
    const all = [...this._otherCallers.values(), ...this._rows.values()]
    const chosen = all.filter(row => service === undefined || row.service === service)
    return chosen.sort((a, b) => b.total - a.total).slice(0, limit).map(row => row.toPlain())
  }

  private _rowOf (service: string, caller: string): OutcomeRow {
    if (caller === OTHER_CALLERS) return this._otherCallersOf(service)
    const key = `${service}\n${caller}`
    const known = this._rows.get(key)
    if (known === undefined) this._evictIfFull()
    else this._rows.delete(key)
    const row = known ?? new OutcomeRow(service, caller)
    this._rows.set(key, row)
    return row
  }

  private _evictIfFull (): void {
    if (this._rows.size < this._maxRows) return
    const oldest = this._rows.entries().next()
    if (oldest.done === true) return
    const [key, row] = oldest.value
    this._rows.delete(key)
    this._otherCallersOf(row.service).add(row)
  }

  private _otherCallersOf (service: string): OutcomeRow {
    const known = this._otherCallers.get(service)
    if (known !== undefined) return known
    const row = new OutcomeRow(service, OTHER_CALLERS)
    this._otherCallers.set(service, row)
    return row
  }
}

function countName (outcome: FinalOutcome, late: boolean): OutcomeCount {
  if (outcome !== 'done') return outcome
  return late ? 'late' : 'completed'
}
