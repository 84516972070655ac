/**
 * The error for a command that the operator listener of a process refused.
 */

import { CommandError } from './CommandError.js'

import type { ExitCode } from './ExitCodes.js'

/** The documented fields of a refusal's body; each may be missing. */
export interface IRefusalBody {
  readonly message?: string
  readonly current?: unknown
}

/** Contains the refusal's body, so that a command can show its details. */
export class OperatorRefusal extends CommandError {
  public constructor (url: string, exitCode: ExitCode, public readonly refusal: IRefusalBody) {
    super('operator.call', url, exitCode, refusal.message ?? 'refused without a reason; check the log of the process')
  }
}
