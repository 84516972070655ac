/**
 * Child processes for tests and scripts: starts a compiled program, waits for its ready line, and stops only the process that
 * it started.
 */

import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

import type { ChildProcess } from 'node:child_process'

const DIST = new URL('../../', import.meta.url)
const READY_TIMEOUT_MS = 20_000
const MAX_OUTPUT_LINES = 20_000

export interface IReadyLine {
  readonly ready: true
  readonly url: string
  readonly urls?: readonly string[]
  readonly [field: string]: unknown
}

export class ProcessHandle {
  /** Resolves when the process has exited, with its exit code or with the signal that ended it. */
  public readonly ended: Promise<number | string>

  public constructor (
    private readonly _child: ChildProcess,
    public readonly ready: Promise<IReadyLine>,
    /** The last lines of the output; older lines are discarded. */
    public readonly stdout: readonly string[],
    public readonly stderr: readonly string[]
  ) {
    this.ended = new Promise((resolve) => {
      _child.once('close', (code, signal) => { resolve(code ?? signal ?? 'unknown') })
    })
  }

  public get pid (): number {
    return this._child.pid ?? -1
  }

  public get isRunning (): boolean {
    return this._child.exitCode === null && this._child.signalCode === null
  }

  public pause (): void {
    this._child.kill('SIGSTOP')
  }

  public resume (): void {
    this._child.kill('SIGCONT')
  }

  public kill (): Promise<number | string> {
    this._child.kill('SIGKILL')
    return this.ended
  }

  /** Sends SIGTERM; resolves with the exit code or the signal that ended the process. */
  public stop (): Promise<number | string> {
    this._child.kill('SIGTERM')
    return this.ended
  }
}

/** Starts `dist/<file>`, for example `test/standins/kv.js`. */
export function startProcess (file: string, args: readonly string[] = [], nodeArgs: readonly string[] = []): ProcessHandle {
  const path = fileURLToPath(new URL(file, DIST))
  const child = spawn(process.execPath, ['--enable-source-maps', ...nodeArgs, path, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  const stdout: string[] = []
  const stderr: string[] = []
  const ready = new Promise<IReadyLine>((resolve, reject) => {
    const timer = setTimeout(() => { reject(new Error(`${file}: no ready line within ${READY_TIMEOUT_MS} ms`)) }, READY_TIMEOUT_MS)
    collectLines(child.stdout, stdout, (line) => {
      const parsed = parseReady(line)
      if (parsed === undefined) return
      clearTimeout(timer)
      resolve(parsed)
    })
    child.once('close', (code, signal) => {
      clearTimeout(timer)
      reject(new Error(`${file}: exited with ${code ?? signal} before it was ready: ${stderr.join('\n')}`))
    })
  })
  ready.catch(() => {})
  collectLines(child.stderr, stderr)
  return new ProcessHandle(child, ready, stdout, stderr)
}

/** Starts `dist/<file>` and waits for its ready line. */
export async function startReady (
  file: string, args: readonly string[] = []): Promise<{ readonly handle: ProcessHandle, readonly ready: IReadyLine }> {
  const handle = startProcess(file, args)
  return { handle, ready: await handle.ready }
}

function collectLines (stream: NodeJS.ReadableStream | null, lines: string[], onLine: (line: string) => void = () => {}): void {
  if (stream === null) return
  createInterface({ input: stream }).on('line', (line) => {
    lines.push(line)
    if (lines.length > MAX_OUTPUT_LINES) lines.shift()
    onLine(line)
  })
}

function parseReady (line: string): IReadyLine | undefined {
  if (!line.startsWith('{')) return undefined
  try {
    const value = JSON.parse(line) as Partial<IReadyLine>
    return value.ready === true ? value as IReadyLine : undefined
  } catch {
    return undefined
  }
}
