/**
 * Parses and validates the INI settings of a controller process, and reports all mistakes at once.
 */

import { err, ok } from 'neverthrow'
import * as z from 'zod'
import { LOG_LEVELS } from '../../common/observability/Types.js'
import { readIni } from './IniText.js'
import { SettingsError } from './SettingsError.js'
import { listenAddress, oneOf, simpleName, wholeNumber } from './SettingsFields.js'

import type { Result } from 'neverthrow'
import type { IniSection } from './IniText.js'
import type { ISettingsProblem } from './SettingsError.js'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS

function number (min: number, max: number, unit: string) {
  return z.string().regex(/^\d{1,9}(\.\d{1,6})?$/).transform(Number).pipe(z.number().min(min).max(max))
    .describe(`must be a number of ${unit} from ${min} to ${max}`)
}

const SECTIONS = {
  process: z.strictObject({
    id: simpleName(),
    region: simpleName(),
    failureDomain: simpleName(),
    processorShare: number(0.01, 1, 'the machine\'s processor'),
    processorSpeed: number(0.01, 1000, 'cores that the processor corresponds to'),
    linkMbps: number(0.01, 1_000_000, 'megabits a second of the machine\'s link').optional(),
    memoryMb: number(1, 100_000_000, 'megabytes that the process may use').optional()
  }),
  callers: z.strictObject({ listen: listenAddress() }),
  readiness: z.strictObject({ listen: listenAddress() }),
  peer: z.strictObject({ listen: listenAddress() }),
  metrics: z.strictObject({ listen: listenAddress() }),
  store: z.strictObject({ address: listenAddress(), minLeaseMs: wholeNumber(1, HOUR_MS, 'milliseconds') }),
  advice: z.strictObject({ address: listenAddress() }),
  hosts: z.strictObject({
    maxHoldMs: wholeNumber(100, HOUR_MS, 'milliseconds'),
    heartbeatMs: wholeNumber(1, HOUR_MS, 'milliseconds'),
    farFactor: number(1, 1000, 'times'),
    statusMs: wholeNumber(0, 24 * HOUR_MS, 'milliseconds'),
    stopGraceMs: wholeNumber(0, HOUR_MS, 'milliseconds')
  }),
  stop: z.strictObject({ graceMs: wholeNumber(0, HOUR_MS, 'milliseconds') }),
  log: z.strictObject({ level: oneOf(LOG_LEVELS), maxLinesPerSecond: wholeNumber(1, 10_000, 'lines') })
} as const

type SectionName = keyof typeof SECTIONS
export type IControllerSettings = { readonly [Name in SectionName]: Readonly<z.output<typeof SECTIONS[Name]>> }

const SECTION_NAMES = Object.keys(SECTIONS) as readonly SectionName[]

/** Parses the text of a settings file. Never throws; the error lists all mistakes. */
export function loadControllerSettings (text: string): Result<IControllerSettings, SettingsError> {
  const ini = readIni(text)
  const problems: ISettingsProblem[] = [...ini.problems]
  for (const name of ini.sections.keys()) {
    if (!Object.hasOwn(SECTIONS, name)) problems.push({ section: name, key: '', value: '', allowed: `unknown section; there are ${SECTION_NAMES.join(', ')}` })
  }
  const checked = SECTION_NAMES.map((name) => [name, checkSection(name, ini.sections.get(name) ?? {}, problems)])
  return problems.length > 0 ? err(new SettingsError(problems)) : ok(Object.fromEntries(checked) as IControllerSettings)
}

function checkSection (name: SectionName, values: IniSection, problems: ISettingsProblem[]): unknown {
  const result = SECTIONS[name].safeParse(values)
  if (result.success) return result.data
  const fields: Readonly<Record<string, z.ZodType>> = SECTIONS[name].shape
  for (const issue of result.error.issues) {
    const key = String(issue.path[0] ?? '')
    const allowed = issue.code === 'unrecognized_keys' ? `unknown key; there are ${Object.keys(fields).join(', ')}` : fields[key]?.description
    problems.push({ section: name, key, value: values[key] ?? '', allowed: allowed ?? 'is not allowed' })
  }
  return undefined
}
