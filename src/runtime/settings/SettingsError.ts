/**
 * The error that lists all mistakes in a settings file.
 */

import { StepError } from '../../common/Errors.js'

/** One mistake in a settings file. */
export interface ISettingsProblem {
  /** Empty for a problem outside every section. */
  readonly section: string
  /** Empty for a problem of the section as a whole. */
  readonly key: string
  /** The value in the file; secrets are hidden. */
  readonly value: string
  /** The allowed values. */
  readonly allowed: string
}

/** Describes the mistake in one line: its place, the value found, and the allowed values. */
export function describeProblem (problem: ISettingsProblem): string {
  const place = problem.key === '' ? `[${problem.section}]` : `[${problem.section}] ${problem.key}`
  const found = problem.value === '' ? '' : ` is ${JSON.stringify(problem.value)}`
  return `${place}${found}: ${problem.allowed}`
}

/** The settings violate documented bounds; `problems` lists every violation. */
export class SettingsError extends StepError {
  public constructor (public readonly problems: readonly ISettingsProblem[]) {
    super('settings.check', 'file', problems.map(describeProblem).join('; '))
  }
}
