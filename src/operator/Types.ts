/**
 * What the commands need from the program around them; tests give their own.
 */

import type { Result } from 'neverthrow'
import type { CommandError } from './CommandError.js'

export interface IConsole {
  /** One line on standard output. */
  print (line: string): void
  /** One line on standard error. */
  warn (line: string): void
  /** Bytes on standard output as they are. */
  printBytes (bytes: Uint8Array): void
  /** Reads a file, or standard input for `-`. */
  readInput (path: string): Promise<Uint8Array>
}

/** What every command is told. */
export interface ICommandContext {
  readonly console: IConsole
  /** Base URL of a process's operator listener. */
  readonly operatorUrl: string
  /** Base URL of a gateway's callers' listener. */
  readonly gatewayUrl: string
  readonly token: string
  /** Who edits, for the history. */
  readonly operator: string
  readonly json: boolean
}

export type CommandResult = Promise<Result<void, CommandError>>
