/**
 * How fit this process is to own the cell at the moment: the fitness of its machine, halved while it is overloaded as the owner and for some
 * time after that.
 *
 * Designed for a load that a machine handles worse than its settings suggest. The settings alone would name the same machine again as soon
 * as another one has taken the cell from it.
 */

import type { MonotonicMs } from '../Types.js'

/** Overload that lasts this long without interruption counts, in ms: a burst that the owner works off sooner costs less than a takeover. */
export const SUSTAINED_OVERLOAD_MS = 2000
/** How long an overload counts after it has ended, in ms. */
const OVERLOAD_MEMORY_MS = 30_000
const OVERLOAD_FACTOR = 0.5
/**
 * How long a process that lost the cell is no candidate for relief, in ms. What it lost the cell by, for example a cut to most of the other
 * processes, may go on, and the cell would go back and forth between it and an unfit owner.
 */
const LOSS_MEMORY_MS = 30_000

export class EffectiveFitness {
  private _overloadedSinceMs: MonotonicMs | undefined
  private _overloadedAtMs: MonotonicMs = -Infinity
  private _lostAtMs: MonotonicMs = -Infinity

  /** @param _machineFitness the current fitness of the machine, from 0 to 1 */
  public constructor (private readonly _machineFitness: () => number) {}

  public get machine (): number {
    return this._machineFitness()
  }

  /** Records whether the process is overloaded as the owner. To be called several times a second, and with `false` when an ownership begins. */
  public update (nowMs: MonotonicMs, isOverloaded: boolean): void {
    this._overloadedSinceMs = isOverloaded ? this._overloadedSinceMs ?? nowMs : undefined
    if (this.isOverloaded(nowMs)) this._overloadedAtMs = nowMs
  }

  /** Whether the process has been overloaded for long enough, until now. */
  public isOverloaded (nowMs: MonotonicMs): boolean {
    return this._overloadedSinceMs !== undefined && nowMs - this._overloadedSinceMs >= SUSTAINED_OVERLOAD_MS
  }

  /** Records that the process lost the cell without handing it over for relief. */
  public recordLoss (nowMs: MonotonicMs): void {
    this._lostAtMs = nowMs
  }

  /** What the process reports to owners; undefined while it is no candidate for relief. */
  public offered (nowMs: MonotonicMs): number | undefined {
    return nowMs - this._lostAtMs <= LOSS_MEMORY_MS ? undefined : this.value(nowMs)
  }

  public value (nowMs: MonotonicMs): number {
    return nowMs - this._overloadedAtMs <= OVERLOAD_MEMORY_MS ? this.machine * OVERLOAD_FACTOR : this.machine
  }
}
