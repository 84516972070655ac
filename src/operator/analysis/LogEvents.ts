/**
 * Parses the log lines of a cell's processes. A line may begin with a prefix that a log collector added; all other lines are ignored.
 */

import { z } from 'zod'

/** One log line. Its time counts from the Unix epoch, so lines of different processes are comparable. */
export interface ILogEvent {
  readonly atMs: number
  readonly event: string
  readonly process: string
  readonly fields: Readonly<Record<string, unknown>>
}

const LOG_LINE_SCHEMA = z.looseObject({ time: z.iso.datetime(), event: z.string(), process: z.string() })

/** Returns the events of all files, ordered by time. */
export function readLogEvents (texts: readonly string[]): readonly ILogEvent[] {
  const events = texts.flatMap((text) => text.split('\n').flatMap(parseLine))
  return events.sort((a, b) => a.atMs - b.atMs)
}

function parseLine (line: string): readonly ILogEvent[] {
  const jsonStart = line.indexOf('{')
  if (jsonStart === -1) return []
  const parsed = LOG_LINE_SCHEMA.safeParse(parseJson(line.slice(jsonStart)))
  if (!parsed.success) return []
  const { time, event, process, ...fields } = parsed.data
  return [{ atMs: Date.parse(time), event, process, fields }]
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Log collectors truncate long lines, which then aren't valid JSON.
    return undefined
  }
}
