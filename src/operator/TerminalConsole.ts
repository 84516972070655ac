/**
 * The console of the real program.
 */

import { readFile } from 'node:fs/promises'

import type { IConsole } from './Types.js'

const STANDARD_INPUT = '-'

export class TerminalConsole implements IConsole {
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
