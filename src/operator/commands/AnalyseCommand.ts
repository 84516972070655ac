/**
 * The command `analyse`: reports from the logs of a cell how jobs ended and where they lost time.
 */

import { plot } from 'asciichart'
import { err, ok } from 'neverthrow'
import { analyseLogs } from '../analysis/LogAnalysis.js'
import { readLogEvents } from '../analysis/LogEvents.js'
import { CommandError } from '../CommandError.js'
import { EXIT } from '../ExitCodes.js'
import { tableLines } from '../Table.js'

import type { ILogAnalysis } from '../analysis/LogAnalysis.js'
import type { CommandResult, ICommandContext } from '../Types.js'
import type { Row } from '../Table.js'

const MS_PER_S = 1000
const PLOT_HEIGHT_LINES = 10

export interface IAnalyseArguments {
  readonly files: readonly string[]
  /** The length of a time window, in seconds. */
  readonly windowS: number
  /** Whether windows in which all jobs were in time are shown too. */
  readonly all: boolean
}

export async function analyse ({ console, json }: ICommandContext, { files, windowS, all }: IAnalyseArguments): CommandResult {
  const texts = await Promise.all(files.map(async (file) => Buffer.from(await console.readInput(file)).toString('utf8')))
  const events = readLogEvents(texts)
  if (events.length === 0) return err(new CommandError('analyse', files.join(', '), EXIT.usage, 'the files contain no log line of a process'))
  const analysis = analyseLogs(events, windowS * MS_PER_S)
  if (json) console.print(JSON.stringify(analysis))
  else for (const line of reportLines(analysis, all)) console.print(line)
  return ok(undefined)
}

function reportLines (analysis: ILogAnalysis, all: boolean): readonly string[] {
  const { windows, workspaces, parts, losses, refusals, ownerChanges, inTimeShares } = analysis
  const shown = windows.filter(({ jobs, fates }) => all || fates.inTime + fates.cancelled < jobs)
  const rows = shown.map(({ fromS, queue, jobs, fates }) => ({ fromS, queue, jobs, ...fates }))
  return [
    ...sectionLines(all ? 'Jobs by time window' : 'Time windows with jobs that were not in time', rows),
    ...sectionLines('Accepted jobs by workspace', workspaces.map(({ workspace, jobs, fates }) => ({ workspace, jobs, ...fates }))),
    ...sectionLines('Time by part of a job', parts),
    ...sectionLines('Runs without a result', losses),
    ...sectionLines('Submissions that were not accepted', refusals),
    ...sectionLines('Owner changes', ownerChanges),
    'Share of jobs in time, by window',
    inTimeShares.length > 1 ? plot([...inTimeShares], { height: PLOT_HEIGHT_LINES, min: 0, max: 1 }) : '(there is only one window)'
  ]
}

function sectionLines (title: string, rows: readonly object[]): readonly string[] {
  return [title, ...tableLines(rows as readonly Row[]), '']
}
