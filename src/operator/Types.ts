/**
 * The interfaces between the commands and the program that runs them; tests replace the console.
 */

import type { Result } from 'neverthrow'
import type { CommandError } from './CommandError.js'

export interface IConsole {
  /** Writes one line to standard output. */
  print (line: string): void
  /** Writes one line to standard error. */
  warn (line: string): void
  /** Writes bytes to standard output unchanged. */
  printBytes (bytes: Uint8Array): void
  /** Reads a file, or standard input for `-`. */
  readInput (path: string): Promise<Uint8Array>
}

/** The console and the global options of a command. */
export interface ICommandContext {
  readonly console: IConsole
  /** Base URL of a process's operator listener. */
  readonly operatorUrl: string
  /** Base URL of a gateway's listener for callers. */
  readonly gatewayUrl: string
  readonly token: string
  /** The user's name, which the history of edits shows. */
  readonly operator: string
  readonly json: boolean
}

export type CommandResult = Promise<Result<void, CommandError>>
