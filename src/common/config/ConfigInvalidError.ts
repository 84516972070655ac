/**
 * The error for an invalid profile, service or team, which lists all invalid fields at once.
 */

import { InvalidInputError } from '../Errors.js'

export interface IFieldProblem {
  readonly field: string
  /** What is wrong or what is allowed, worded to follow the field's name, such as `must be true or false`. */
  readonly allowed: string
}

/** Nothing was changed; `problems` lists every field to correct. */
export class ConfigInvalidError extends InvalidInputError {
  /** All problems in one line of text. */
  public readonly summary: string

  public constructor (peer: string, public readonly problems: readonly IFieldProblem[]) {
    const summary = problems.map(describe).join('; ')
    super('config.check', peer, problems.map(problem => problem.field).join(', '), summary)
    this.summary = summary
  }
}

function describe (problem: IFieldProblem): string {
  return `${problem.field} ${problem.allowed}`
}
