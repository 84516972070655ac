/**
 * Decides whether the cores and memory that free accelerators need are kept from work without accelerators.
 */

import type { IClock, MonotonicMs } from '../Types.js'

/** How long the reserve lasts after an arrival: longer than the gaps in a steady stream of accelerator work. Then all work may use the capacity. */
const RESERVE_MS = 30_000

export class AcceleratorReserve {
  private _endsAtMs: MonotonicMs = -Infinity

  public constructor (private readonly _clock: IClock) {}

  /** Records that accelerator work has arrived, which extends the reserve. */
  public recordArrival (): void {
    this._endsAtMs = this._clock.nowMs() + RESERVE_MS
  }

  /**
   * Whether the capacity is reserved now. The reserve expires because most hosts of a cell may have accelerators that
   * no work needs for a while. If their capacity were kept for ever, plain work would stay in the queue beside idle
   * hosts.
   */
  public get isActive (): boolean {
    return this._clock.nowMs() < this._endsAtMs
  }

  /** When the reserve ends, unless accelerator work arrives before. */
  public get endsAtMs (): MonotonicMs {
    return this._endsAtMs
  }
}
