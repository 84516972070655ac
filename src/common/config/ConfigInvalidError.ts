/**
 * What is wrong with a profile, service or team that an operator wants to put, all of it at once.
 */

import { InvalidInputError } from '../Errors.js'

export interface IFieldProblem {
  readonly field: string
  /** What is allowed there. */
  readonly allowed: string
}

/** Nothing was changed; `problems` lists every field to mend. */
export class ConfigInvalidError extends InvalidInputError {
  /** All problems in one line for people. */
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
