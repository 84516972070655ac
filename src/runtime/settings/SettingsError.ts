/**
 * What is wrong with a settings file, all of it at once.
 */

import { StepError } from '../../common/Errors.js'

/** One thing to mend. */
export interface ISettingsProblem {
  /** Empty for a problem outside every section. */
  readonly section: string
  /** Empty for a problem of the section as a whole. */
  readonly key: string
  /** As written; secrets are hidden. */
  readonly value: string
  /** What is allowed there. */
  readonly allowed: string
}

/** One line for people: where, what stands there, what may. */
export function describeProblem (problem: ISettingsProblem): string {
  const place = problem.key === '' ? `[${problem.section}]` : `[${problem.section}] ${problem.key}`
  const found = problem.value === '' ? '' : ` is ${JSON.stringify(problem.value)}`
  return `${place}${found}: ${problem.allowed}`
}

/** The settings break documented bounds; `problems` lists every one. */
export class SettingsError extends StepError {
  public constructor (public readonly problems: readonly ISettingsProblem[]) {
    super('settings.check', 'file', problems.map(describeProblem).join('; '))
  }
}
