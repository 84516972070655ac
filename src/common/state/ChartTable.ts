/**
 * A flat state chart compiled to a transition table. An xstate transition takes about 18 µs, and the library uses some memory;
 * the daemons interpret the same JSON files with this table, and a differential test verifies that both agree.
 */

import { err, ok } from 'neverthrow'
import { InvalidInputError } from '../Errors.js'

import type { Result } from 'neverthrow'
import type { IFlatChart } from './Types.js'

export class ChartTable {
  private constructor (
    private readonly _chart: IFlatChart,
    private readonly _rows: ReadonlyMap<string, ReadonlyMap<string, string>>
  ) {}

  /** Checks that the initial state and each target exist. */
  public static compile (chart: IFlatChart): Result<ChartTable, InvalidInputError> {
    const rows = new Map<string, ReadonlyMap<string, string>>()
    for (const [state, node] of Object.entries(chart.states)) {
      rows.set(state, new Map(Object.entries(node.on ?? {})))
    }
    const targets = [...rows.values()].flatMap((row) => [...row.values()])
    const missing = [chart.initial, ...targets].find((target) => !rows.has(target))
    if (missing !== undefined) {
      return err(new InvalidInputError('chart.compile', chart.id, missing, 'no such state'))
    }
    return ok(new ChartTable(chart, rows))
  }

  public get initial (): string {
    return this._chart.initial
  }

  public get states (): readonly string[] {
    return [...this._rows.keys()]
  }

  /** All events for which some state has a transition. */
  public get events (): readonly string[] {
    return [...new Set([...this._rows.values()].flatMap((row) => [...row.keys()]))]
  }

  /** The state after `event`; the same state if it has no transition for `event`. */
  public next (state: string, event: string): string {
    return this._rows.get(state)?.get(event) ?? state
  }

  /** Whether `state` has a transition for `event`. */
  public hasTransition (state: string, event: string): boolean {
    return this._rows.get(state)?.has(event) ?? false
  }

  public isFinal (state: string): boolean {
    return this._chart.states[state]?.type === 'final'
  }
}
