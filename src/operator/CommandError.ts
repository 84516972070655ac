/**
 * The failure of a command: one line that says what to do, and the exit code.
 */

import { StepError } from '../common/Errors.js'

import type { ExitCode } from './ExitCodes.js'

export class CommandError extends StepError {
  /**
   * @param advice one line for the operator
   * @param details further lines, such as both versions after an edit conflict
   */
  public constructor (
    step: string,
    peer: string,
    public readonly exitCode: ExitCode,
    public readonly advice: string,
    public readonly details: readonly string[] = []
  ) {
    super(step, peer, advice)
  }
}
