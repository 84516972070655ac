/**
 * Parses and validates a whole settings file at the start of a process, and reports all mistakes at once.
 */

import { err, ok } from 'neverthrow'
import { readIni } from './IniText.js'
import { checkRelations } from './SettingsRelations.js'
import { SECRET_KEYS, SETTINGS_SECTIONS } from './SettingsSchema.js'
import { SettingsError } from './SettingsError.js'

import type { Result } from 'neverthrow'
import type * as z from 'zod'
import type { IniSection } from './IniText.js'
import type { ISettingsProblem } from './SettingsError.js'
import type { SectionName } from './SettingsSchema.js'
import type { ICallerSettings, ISettings } from './Types.js'

type Sections = { readonly [Name in SectionName]: z.output<typeof SETTINGS_SECTIONS[Name]> }

const SECTION_NAMES = Object.keys(SETTINGS_SECTIONS) as readonly SectionName[]
const MAX_SHOWN_CHARS = 60

export class SettingsLoader {
  /** Parses the text of a settings file. Never throws; the error lists all mistakes. */
  public load (text: string): Result<ISettings, SettingsError> {
    const ini = readIni(text)
    const problems = [...ini.problems, ...this._unknownSections(ini.sections)]
    const checked = SECTION_NAMES
      .filter(name => name !== 'caller' || ini.sections.has('caller'))
      .map(name => [name, this._checkSection(name, ini.sections.get(name) ?? {}, problems)] as const)
    problems.push(...checkRelations(ini.sections))
    if (problems.length > 0) return err(new SettingsError(keepFirstPerKey(problems)))
    return ok(toSettings(Object.fromEntries(checked) as unknown as Sections))
  }

  private _unknownSections (sections: ReadonlyMap<string, IniSection>): readonly ISettingsProblem[] {
    const unknown = [...sections.keys()].filter(name => !Object.hasOwn(SETTINGS_SECTIONS, name))
    const allowed = `unknown section; there are ${SECTION_NAMES.join(', ')}`
    return unknown.map(section => ({ section, key: '', value: '', allowed }))
  }

  private _checkSection (name: SectionName, values: IniSection, problems: ISettingsProblem[]): unknown {
    const result = SETTINGS_SECTIONS[name].safeParse(values)
    if (result.success) return result.data
    problems.push(...result.error.issues.flatMap(issue => toProblems(name, values, issue)))
    return undefined
  }
}

function toProblems (section: SectionName, values: IniSection, issue: z.core.$ZodIssue): readonly ISettingsProblem[] {
  const fields: Readonly<Record<string, z.ZodType>> = SETTINGS_SECTIONS[section].shape
  if (issue.code === 'unrecognized_keys') {
    const allowed = `unknown key; there are ${Object.keys(fields).join(', ')}`
    return issue.keys.map(key => ({ section, key, value: '', allowed }))
  }
  const key = String(issue.path[0] ?? '')
  const allowed = describeField(fields[key])
  const isMissing = !Object.hasOwn(values, key)
  return [{ section, key, value: formatValue(key, values[key]), allowed: isMissing ? `is missing; ${allowed}` : allowed }]
}

function describeField (field: z.ZodType | undefined): string {
  if (field === undefined) return 'is not allowed'
  const inner = (field as Partial<z.ZodDefault>).unwrap?.() as z.ZodType | undefined
  return field.description ?? inner?.description ?? 'is not allowed'
}

function formatValue (key: string, value: string | undefined): string {
  if (value === undefined) return ''
  if (SECRET_KEYS.has(key)) return '(hidden)'
  return value.length <= MAX_SHOWN_CHARS ? value : `${value.slice(0, MAX_SHOWN_CHARS)}…`
}

/** Keeps the first problem of each key. A malformed line also makes its key missing, which would only repeat the first problem. */
function keepFirstPerKey (problems: readonly ISettingsProblem[]): readonly ISettingsProblem[] {
  const seen = new Set<string>()
  return problems.filter(({ section, key }) => {
    const place = `[${section}] ${key}`
    const isFirst = key === '' || !seen.has(place)
    seen.add(place)
    return isFirst
  })
}

function toSettings (sections: Sections): ISettings {
  const { role, region, failureDomain } = sections.process
  const id = sections.process.id ?? `${role}-${sections.peer.listen.ip}-${sections.peer.listen.port}`.replaceAll(':', '.')
  const { caller, ...others } = sections
  return {
    ...others,
    ...(role === 'gateway' ? { caller: caller satisfies ICallerSettings } : {}),
    process: { id, role, region, failureDomain }
  }
}
