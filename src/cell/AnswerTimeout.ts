/**
 * Timeout for an answer, adapted to the durations of the answers before it.
 *
 * An owner can run out of processor or bandwidth, because of a burst or because it reads all jobs after a takeover. With a fixed timeout it
 * would be considered dead, or cut off from the store. The next owner has to read all jobs first and is just as busy, so the cell would
 * change owners every few seconds without any progress.
 */

export interface IAnswerTimeoutOptions {
  /** Lower bound of the timeout, in ms. */
  readonly minMs: number
  /** Lower bound while there are fewer than `MIN_SAMPLES` answers, in ms. */
  readonly initialMs: number
}

const MAX_LIMIT_MS = 3000
/** The timeout is the duration of the slowest recent answer times this factor. */
const SLOWEST_FACTOR = 2
const MAX_SAMPLES = 40
const MIN_SAMPLES = 5

export class AnswerTimeout {
  private readonly _samplesMs: number[] = []

  public constructor (private readonly _options: IAnswerTimeoutOptions) {}

  public recordAnswer (durationMs: number): void {
    this._samplesMs.push(durationMs)
    if (this._samplesMs.length > MAX_SAMPLES) this._samplesMs.shift()
  }

  public get limitMs (): number {
    const { minMs, initialMs } = this._options
    const adaptedMs = Math.min(MAX_LIMIT_MS, Math.max(minMs, ...this._samplesMs.map((ms) => ms * SLOWEST_FACTOR)))
    return this._samplesMs.length < MIN_SAMPLES ? Math.max(initialMs, adaptedMs) : adaptedMs
  }
}
