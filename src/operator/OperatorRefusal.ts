/**
 * A refusal by the operators' side of a process.
 */

import { CommandError } from './CommandError.js'

import type { ExitCode } from './ExitCodes.js'

/** The body of a refusal, as far as it has the documented form. */
export interface IRefusal {
  readonly message?: string
  readonly current?: unknown
}

/** Carries the refusal, so that a command can show more of it. */
export class OperatorRefusal extends CommandError {
  public constructor (url: string, exitCode: ExitCode, public readonly refusal: IRefusal) {
    super('operator.call', url, exitCode, refusal.message ?? 'refused without a reason; look into the log of the process')
  }
}
