/**
 * What the definitions of arguments share.
 */

import type { CommandResult, ICommandContext } from '../Types.js'

/** Options of every command. */
export interface IGlobalArguments {
  readonly operator: string
  readonly gateway: string
  readonly json: boolean
}

/** Runs one command and keeps its result. */
export type Run = (action: (context: ICommandContext) => CommandResult, options: IGlobalArguments) => Promise<void>
