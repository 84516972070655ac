/**
 * Whether the room that free accelerators need is kept from work without accelerators.
 */

import type { IClock, MonotonicMs } from '../Types.js'

/** Longer than the gaps of a steady stream of accelerator work; a cell that sees none loses no more than this of its room. */
const KEPT_MS = 30_000

export class AcceleratorReserve {
  private _endsAtMs: MonotonicMs = -Infinity

  public constructor (private readonly _clock: IClock) {}

  /** Accelerator work has arrived. */
  public noteArrival (): void {
    this._endsAtMs = this._clock.nowMs() + KEPT_MS
  }

  /**
   * Made for a cell in which most hosts have accelerators and no work wants them for a while. If their room were kept for
   * ever, plain work would wait beside idle hosts: one sees a queue and free cores at the same time, for ever.
   */
  public get isKept (): boolean {
    return this._clock.nowMs() < this._endsAtMs
  }

  /** When the room opens, unless accelerator work arrives before. */
  public get endsAtMs (): MonotonicMs {
    return this._endsAtMs
  }
}
