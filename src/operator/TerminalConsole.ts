/**
 * The console of the command line: standard input, output and error.
 */

import { readFile } from 'node:fs/promises'

import { EXIT } from './ExitCodes.js'

import type { IConsole } from './Types.js'

const STANDARD_INPUT = '-'

export class TerminalConsole implements IConsole {
  /**
   * A reader such as `head` may close the pipe before all output is written. Node reports this as a stream error, and without a
   * listener the operator would see a stack trace. The reader has what it needs, so the program exits as done.
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
