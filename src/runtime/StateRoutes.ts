/**
 * The read-only routes of the operators' HTTP interface that every process serves: dump, metrics and outcomes.
 */

import { errorReply, okReply } from './OperatorRoutes.js'

import type { DumpRegistry } from '../common/observability/DumpRegistry.js'
import type { LatencyTable } from '../common/observability/LatencyTable.js'
import type { OutcomeCounters } from '../common/observability/OutcomeCounters.js'
import type { ProcessMetrics } from '../common/observability/ProcessMetrics.js'
import type { IOperatorReply, IOperatorRequest, OperatorHandlers } from './OperatorRoutes.js'

/** The most rows in one response; each has up to some hundred buckets. */
const MAX_OUTCOME_ROWS = 200

export interface IStateSources {
  readonly processId: string
  readonly dumps: DumpRegistry
  readonly metrics: ProcessMetrics
  /** Latency tables by name, for example one for each service. */
  readonly times: Readonly<Record<string, LatencyTable>>
  /** Absent in a process that serves no callers. */
  readonly outcomes?: OutcomeCounters
}

export function stateHandlers (sources: IStateSources): OperatorHandlers {
  const { processId, metrics, outcomes } = sources
  return {
    dump: request => replyDump(sources, request),
    metrics: () => okReply({ processId, process: metrics.current(), times: summarizeTimes(sources) }),
    ...(outcomes === undefined
      ? {}
      : { outcomes: ({ query }: IOperatorRequest) => okReply({ processId, rows: outcomes.rows(query['service'], MAX_OUTCOME_ROWS) }) })
  }
}

function replyDump ({ processId, dumps }: IStateSources, { query }: IOperatorRequest): IOperatorReply {
  const sections = dumps.dump(query['section'])
  if (sections !== undefined) return okReply({ processId, sections })
  return errorReply(404, 'notFound', `there is no such section; the sections are ${dumps.names().join(', ')}`)
}

function summarizeTimes ({ times }: IStateSources): object {
  return Object.fromEntries(Object.entries(times).map(([name, table]) => [name, table.summaries()]))
}
