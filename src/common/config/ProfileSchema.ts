/**
 * The schemas of everything that operators configure. Values are validated when they are put and again when they are read.
 */

import { err, ok } from 'neverthrow'
import * as z from 'zod'
import { ConfigInvalidError } from './ConfigInvalidError.js'

import type { Result } from 'neverthrow'
import type { IFieldProblem } from './ConfigInvalidError.js'
import type { ConfigKind, IProfile, IServiceConfig, ITeamConfig } from './Types.js'

export type ConfigValue = IProfile | IServiceConfig | ITeamConfig

export const CONFIG_KINDS = ['profile', 'service', 'team'] as const satisfies readonly ConfigKind[]

/** Names are parts of store keys and URLs, so they contain neither slashes nor spaces. */
const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/
const DAY_MS = 86_400_000
const HOUR_MS = 3_600_000
const MILLION = 1_000_000

const NAME_SCHEMA = z.string().regex(NAME_PATTERN)
  .describe('must be 1 to 63 lower-case letters, digits, dots, dashes or underscores')

const FLAG_SCHEMA = z.boolean().describe('must be true or false')

function number (min: number, max: number, unit: string) {
  return z.number().min(min).max(max).describe(`must be a number of ${unit} from ${min} to ${max}`)
}

function wholeNumber (min: number, max: number, unit: string) {
  return z.int().min(min).max(max).describe(`must be a whole number of ${unit} from ${min} to ${max}`)
}

function oneOf<const T extends readonly [string, ...string[]]> (values: T) {
  return z.enum(values).describe(`must be one of ${values.join(', ')}`)
}

const PROFILE_SCHEMA = z.strictObject({
  name: NAME_SCHEMA,
  priorityClass: oneOf(['urgent', 'normal', 'patient']),
  deadlineMs: wholeNumber(10, DAY_MS, 'milliseconds'),
  floorShare: number(0, 0.9, 'the whole capacity'),
  weight: number(0.01, 1000, 'shares'),
  maxRunning: wholeNumber(1, MILLION, 'requests and tasks'),
  allAtOnce: FLAG_SCHEMA,
  spread: oneOf(['none', 'failureDomain']),
  crossRegion: oneOf(['never', 'whenWorthIt']),
  crossRegionGainMs: wholeNumber(0, HOUR_MS, 'milliseconds'),
  maxRetries: wholeNumber(0, 10, 'further attempts'),
  preemptible: FLAG_SCHEMA,
  idempotentDefault: FLAG_SCHEMA
})

const SERVICE_SCHEMA = z.strictObject({ name: NAME_SCHEMA, profile: NAME_SCHEMA, team: NAME_SCHEMA })

const TEAM_SCHEMA = z.strictObject({
  name: NAME_SCHEMA,
  maxSlots: wholeNumber(1, MILLION, 'slots'),
  maxCores: number(0.1, 10 * MILLION, 'cores'),
  maxAccelerators: wholeNumber(0, MILLION, 'accelerators')
})

const SCHEMAS = { profile: PROFILE_SCHEMA, service: SERVICE_SCHEMA, team: TEAM_SCHEMA } as const

/** The names of all fields of a profile. */
export const PROFILE_FIELDS = Object.keys(PROFILE_SCHEMA.shape) as ReadonlyArray<keyof IProfile>

export function isConfigKind (text: string): text is ConfigKind {
  return (CONFIG_KINDS as readonly string[]).includes(text)
}

export function isConfigName (text: string): boolean {
  return NAME_PATTERN.test(text)
}

/** Validates a value from any source. Never throws; the error names every invalid field. */
export function checkConfigValue (kind: ConfigKind, name: string, value: unknown): Result<ConfigValue, ConfigInvalidError> {
  const result = SCHEMAS[kind].safeParse(value)
  const problems = result.success ? [] : result.error.issues.flatMap(issue => toProblems(kind, value, issue))
  if (result.success && result.data.name !== name) {
    problems.push({ field: 'name', allowed: `must be ${name}, the name that it is stored under` })
  }
  if (!result.success || problems.length > 0) return err(new ConfigInvalidError(`${kind} ${name}`, keepOnePerField(problems)))
  return ok(result.data)
}

function toProblems (kind: ConfigKind, value: unknown, issue: z.core.$ZodIssue): IFieldProblem[] {
  const fields: Readonly<Record<string, z.ZodType>> = SCHEMAS[kind].shape
  const names = Object.keys(fields).join(', ')
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(field => ({ field, allowed: `is unknown; the fields of a ${kind} are ${names}` }))
  }
  const field = String(issue.path[0] ?? '')
  if (field === '') return [{ field: kind, allowed: `must be an object with the fields ${names}` }]
  const allowed = fields[field]?.description ?? 'is not allowed'
  const isMissing = typeof value === 'object' && value !== null && !Object.hasOwn(value, field)
  return [{ field, allowed: isMissing ? `is missing; it ${allowed}` : allowed }]
}

function keepOnePerField (problems: readonly IFieldProblem[]): readonly IFieldProblem[] {
  const byField = new Map(problems.map(problem => [problem.field, problem]))
  return [...byField.values()]
}
