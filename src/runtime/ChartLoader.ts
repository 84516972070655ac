/**
 * Reads the state charts, which stand at the root of the tree in `charts/`, and compiles them.
 */

import { readFileSync } from 'node:fs'
import { Result, err } from 'neverthrow'
import { InvalidInputError } from '../common/Errors.js'
import { ChartTable } from '../common/state/ChartTable.js'

import type { IFlatChart } from '../common/state/Types.js'

export type ChartName = 'shardOwnership' | 'task' | 'attempt'

/** From `dist/src/runtime/` to the root. */
const CHARTS_URL = new URL('../../../charts/', import.meta.url)

/** Reads and compiles one chart; for the start of a process. */
export function loadChart (name: ChartName): Result<ChartTable, InvalidInputError> {
  const read = Result.fromThrowable(
    () => JSON.parse(readFileSync(new URL(`${name}.json`, CHARTS_URL), 'utf8')) as IFlatChart,
    (cause) => new InvalidInputError('chart.load', name, name, String(cause))
  )()
  return read.isErr() ? err(read.error) : ChartTable.compile(read.value)
}
