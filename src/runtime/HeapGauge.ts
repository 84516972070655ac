/**
 * Measures how much of the heap is free: its limit without what the last full garbage collection has left.
 */

import { PerformanceObserver, constants } from 'node:perf_hooks'
import { getHeapStatistics } from 'node:v8'

import type { IClock, IDisposable, MonotonicMs } from '../common/Types.js'

/** How long a measurement counts, in ms. A heap that fills up is collected again within this time. */
const VALID_MS = 2000

interface IGarbageCollection {
  readonly detail?: { readonly kind?: number }
}

export class HeapGauge implements IDisposable {
  private _freeBytes = Infinity
  private _measuredAtMs: MonotonicMs = -Infinity
  private readonly _observer: PerformanceObserver

  public constructor (private readonly _clock: IClock) {
    this._observer = new PerformanceObserver((list) => {
      const collections = list.getEntries() as readonly IGarbageCollection[]
      if (collections.some(({ detail }) => detail?.kind === constants.NODE_PERFORMANCE_GC_MAJOR)) this._measure()
    })
    this._observer.observe({ entryTypes: ['gc'] })
  }

  /** In bytes; Infinity if no full collection was needed lately. */
  public get freeBytes (): number {
    return this._clock.nowMs() - this._measuredAtMs <= VALID_MS ? this._freeBytes : Infinity
  }

  public dispose (): void {
    this._observer.disconnect()
  }

  private _measure (): void {
    const { heap_size_limit: limitBytes, used_heap_size: usedBytes } = getHeapStatistics()
    this._freeBytes = limitBytes - usedBytes
    this._measuredAtMs = this._clock.nowMs()
  }
}
