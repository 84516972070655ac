/**
 * The clock of a simulated process whose work takes time: its timers wait while it is busy. The world goes on by the clock that it is
 * based on.
 */

import type { EpochMs, IClock, IDisposable, ITimers, MonotonicMs } from '../../src/common/Types.js'

export class BusyClock implements IClock, ITimers {
  private _busyUntilMs: MonotonicMs = -Infinity

  public constructor (private readonly _world: IClock & ITimers) {}

  public get isBusy (): boolean {
    return this._world.nowMs() < this._busyUntilMs
  }

  /** The process works for this long, in ms, and does nothing else meanwhile. */
  public work (ms: number): void {
    if (ms > 0) this._busyUntilMs = this.nowMs() + ms
  }

  public nowMs (): MonotonicMs {
    return Math.max(this._world.nowMs(), this._busyUntilMs)
  }

  public wallMs (): EpochMs {
    return this._world.wallMs() + this.nowMs() - this._world.nowMs()
  }

  public after (delayMs: number, callback: () => void): IDisposable {
    const untilFreeMs = this.nowMs() - this._world.nowMs()
    let timer = this._world.after(untilFreeMs + delayMs, () => {
      if (this.isBusy) timer = this.after(0, callback)
      else callback()
    })
    return { dispose: () => { timer.dispose() } }
  }

  public every (periodMs: number, callback: () => void): IDisposable {
    return this._world.every(periodMs, () => { if (!this.isBusy) callback() })
  }

  /** Resolves once the process can handle what has arrived. */
  public async whenFree (): Promise<void> {
    if (this.isBusy) await new Promise<void>((resolve) => { this.after(0, resolve) })
  }
}
