/**
 * Writes log lines to standard output, and bounds the memory of lines that are not read.
 *
 * Node queues what a pipe doesn't accept. If the log collector hangs, the process would grow until it is killed, restart and
 * be killed again. This class drops and counts the lines over its limit. It also collects lines for a short time, so that
 * several lines share one system call.
 */

import type { IDisposable, ITimers } from '../common/Types.js'

/** How long lines are collected, in ms: too short for a reader to notice, and longer than the time between two lines of a busy owner. */
const BATCH_MS = 50
/** A pipe accepts this much in one write, so that lines of several writers are not mixed; in characters, mostly ASCII. */
const MAX_CHUNK_CHARS = 4000
/** The limit of unread lines, in characters: some seconds of a busy owner's lines, and less than a hundredth of its memory. */
const MAX_WAITING_CHARS = 1_000_000

/** The part of a stream that `LogWriter` uses. */
export interface ILogOutput {
  readonly writableLength: number
  write (text: string): boolean
}

export class LogWriter implements IDisposable {
  private _waiting: string[] = []
  private _waitingChars = 0
  private _droppedLines = 0
  private readonly _onExit = (): void => { this._flush() }

  public constructor (private readonly _timers: ITimers, private readonly _output: ILogOutput = process.stdout) {
    process.on('exit', this._onExit)
  }

  /** The number of lines dropped so far. */
  public get droppedLines (): number {
    return this._droppedLines
  }

  public get hasRoom (): boolean {
    return this._waitingChars + this._output.writableLength < MAX_WAITING_CHARS
  }

  public write (line: string): void {
    if (!this.hasRoom) {
      this._droppedLines += 1
      return
    }
    if (this._waiting.length === 0) this._timers.after(BATCH_MS, () => { this._flush() })
    this._waiting.push(line)
    this._waitingChars += line.length
  }

  public dispose (): void {
    process.off('exit', this._onExit)
    this._flush()
  }

  private _flush (): void {
    let chunk = ''
    for (const line of this._waiting) {
      if (chunk !== '' && chunk.length + line.length > MAX_CHUNK_CHARS) {
        this._output.write(chunk)
        chunk = ''
      }
      chunk += line
    }
    if (chunk !== '') this._output.write(chunk)
    this._waiting = []
    this._waitingChars = 0
  }
}
