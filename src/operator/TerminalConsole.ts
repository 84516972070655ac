/**
 * The console of the real program.
 */

import { readFile } from 'node:fs/promises'

import { EXIT } from './ExitCodes.js'

import type { IConsole } from './Types.js'

const STANDARD_INPUT = '-'

export class TerminalConsole implements IConsole {
  /**
   * A reader such as `head` may close the pipe before all is written. Node reports that as an error of the stream, and
   * without a listener the operator sees a stack trace in place of the lines asked for. What was wanted has been read,
   * so the program ends as done.
   */
  public constructor () {
    process.stdout.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code !== 'EPIPE') throw error
      process.exit(EXIT.done)
    })
  }

  public print (line: string): void {
    process.stdout.write(`${line}\n`)
  }

  public warn (line: string): void {
    process.stderr.write(`${line}\n`)
  }

  public printBytes (bytes: Uint8Array): void {
    process.stdout.write(bytes)
  }

  public async readInput (path: string): Promise<Uint8Array> {
    if (path !== STANDARD_INPUT) return await readFile(path)
    const chunks: Uint8Array[] = []
    for await (const chunk of process.stdin) chunks.push(chunk as Uint8Array)
    return Buffer.concat(chunks)
  }
}
