/**
 * Reads INI text into sections of plain strings. The library is lenient: it keeps the last of two equal keys, takes a
 * line without `=` as true, and cuts a value at the first `#` or `;`. A lost or shortened setting would show only much
 * later, as a process that acts on a default, so these lines are reported instead and left out.
 */

import { parse } from 'ini'
import { IniScan } from './IniScan.js'

import type { ISettingsProblem } from './SettingsError.js'

export type IniSection = Readonly<Record<string, string>>

export interface IIniText {
  readonly sections: ReadonlyMap<string, IniSection>
  readonly problems: readonly ISettingsProblem[]
}

/** Never throws, whatever the text. */
export function readIni (text: string): IIniText {
  const scan = new IniScan()
  const lines = text.split(/\r\n|\n|\r/)
  lines.forEach((line, index) => scan.take(line.trim(), index + 1))
  return { sections: toSections(parse(scan.goodLines.join('\n'))), problems: scan.problems }
}

function toSections (parsed: Readonly<Record<string, unknown>>): ReadonlyMap<string, IniSection> {
  const sections = new Map<string, IniSection>()
  for (const [name, section] of Object.entries(parsed)) {
    const pairs = Object.entries(Object(section)).map(([key, value]) => [key, String(value)])
    sections.set(name, Object.fromEntries(pairs))
  }
  return sections
}
