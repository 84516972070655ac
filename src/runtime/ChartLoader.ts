/**
 * Reads the state charts from the folder `charts/` at the root of the project, and compiles them.
 */

import { readFileSync } from 'node:fs'
import { Result, err } from 'neverthrow'
import { InvalidInputError } from '../common/Errors.js'
import { ChartTable } from '../common/state/ChartTable.js'

import type { IFlatChart } from '../common/state/Types.js'

export type ChartName = 'shardOwnership' | 'task' | 'attempt'

/** Relative to the compiled file in `dist/src/runtime/`. */
const CHARTS_URL = new URL('../../../charts/', import.meta.url)

/** Reads and compiles one chart. Reads synchronously, so call it only while the process starts. */
export function loadChart (name: ChartName): Result<ChartTable, InvalidInputError> {
  const read = Result.fromThrowable(
    () => JSON.parse(readFileSync(new URL(`${name}.json`, CHARTS_URL), 'utf8')) as IFlatChart,
    (cause) => new InvalidInputError('chart.load', name, name, String(cause))
  )()
  return read.isErr() ? err(read.error) : ChartTable.compile(read.value)
}
