/**
 * Parses INI text into sections of strings. The INI library is lenient: it keeps the last of two equal keys, reads a line
 * without `=` as true, and truncates a value at the first `#` or `;`. A lost or truncated setting would be noticed only much
 * later, when the process uses a default. Therefore such lines are reported and skipped.
 */

import { parse } from 'ini'
import { IniLineChecker } from './IniLineChecker.js'

import type { ISettingsProblem } from './SettingsError.js'

export type IniSection = Readonly<Record<string, string>>

export interface IIniContent {
  readonly sections: ReadonlyMap<string, IniSection>
  readonly problems: readonly ISettingsProblem[]
}

/** Parses INI text. Never throws. */
export function readIni (text: string): IIniContent {
  const checker = new IniLineChecker()
  const lines = text.split(/\r\n|\n|\r/)
  lines.forEach((line, index) => checker.checkLine(line.trim(), index + 1))
  return { sections: toSections(parse(checker.validLines.join('\n'))), problems: checker.problems }
}

function toSections (parsed: Readonly<Record<string, unknown>>): ReadonlyMap<string, IniSection> {
  const sections = new Map<string, IniSection>()
  for (const [name, section] of Object.entries(parsed)) {
    const pairs = Object.entries(Object(section)).map(([key, value]) => [key, String(value)])
    sections.set(name, Object.fromEntries(pairs))
  }
  return sections
}
