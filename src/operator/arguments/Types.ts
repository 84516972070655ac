/**
 * Types that the argument definitions of all commands share.
 */

import type { CommandResult, ICommandContext } from '../Types.js'

/** Options of every command. */
export interface IGlobalArguments {
  readonly operator: string
  readonly gateway: string
  readonly json: boolean
}

/** Runs one command and stores its result. */
export type Run = (action: (context: ICommandContext) => CommandResult, options: IGlobalArguments) => Promise<void>
