/**
 * Why a command failed, in one line that says what to do, and with which exit code it ends.
 */

import { StepError } from '../common/Errors.js'

import type { ExitCode } from './ExitCodes.js'

export class CommandError extends StepError {
  /**
   * @param advice one line for people
   * @param details further lines, such as the two versions of a racing edit
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
