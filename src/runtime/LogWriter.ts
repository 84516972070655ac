/**
 * Writes log lines to standard output, and keeps little where nobody reads them.
 *
 * Node queues what a pipe doesn't take: with a collector that hangs, one would see the process grow until it is killed, start
 * anew and be killed again. Here what doesn't fit is left out and counted. Gathered for a moment, lines also cost
 * few system calls instead of one each.
 */

import type { IDisposable, ITimers } from '../common/Types.js'

/** Lines gather for this long, in ms: short beside what anybody reads, long beside the time between two lines of a busy owner. */
const GATHER_MS = 50
/** A pipe takes so many bytes in one piece, so that lines of several writers on it stay whole; in characters of mostly ASCII. */
const PIECE_CHARS = 4000
/** Kept while nobody reads, in characters: some seconds of a busy owner's lines, under a hundredth of its memory. */
const MAX_WAITING_CHARS = 1_000_000

/** What of a stream is used here. */
export interface ILogOutput {
  readonly writableLength: number
  write (text: string): boolean
}

export class LogWriter implements IDisposable {
  private _gathered: string[] = []
  private _gatheredChars = 0
  private _leftOut = 0
  private readonly _onExit = (): void => { this._flush() }

  public constructor (private readonly _timers: ITimers, private readonly _output: ILogOutput = process.stdout) {
    process.on('exit', this._onExit)
  }

  /** Lines that had no room, so far. */
  public get leftOut (): number {
    return this._leftOut
  }

  public get hasRoom (): boolean {
    return this._gatheredChars + this._output.writableLength < MAX_WAITING_CHARS
  }

  public write (line: string): void {
    if (!this.hasRoom) {
      this._leftOut += 1
      return
    }
    if (this._gathered.length === 0) this._timers.after(GATHER_MS, () => { this._flush() })
    this._gathered.push(line)
    this._gatheredChars += line.length
  }

  public dispose (): void {
    process.off('exit', this._onExit)
    this._flush()
  }

  private _flush (): void {
    let piece = ''
    for (const line of this._gathered) {
      if (piece !== '' && piece.length + line.length > PIECE_CHARS) {
        this._output.write(piece)
        piece = ''
      }
      piece += line
    }
    if (piece !== '') this._output.write(piece)
    this._gathered = []
    this._gatheredChars = 0
  }
}
