/**
 * The resource usage of a process: processor, memory, traffic and store calls, sampled at a fixed period.
 */

import type { IClock, IDisposable, ITimers, MonotonicMs } from '../Types.js'
import type { IProcessMetrics, IProcessReadings } from './Types.js'

const SECOND_MS = 1000
const MICROS_PER_MS = 1000
/** The time between two samples. A stall of the event loop is certain to be noticed only if it lasts this long. */
export const SAMPLE_PERIOD_MS = 1000
/** How many samples rates are computed over. */
const SAMPLES_PER_PERIOD = 10

interface ISample {
  readonly atMs: MonotonicMs
  readonly processorMicros: number
  readonly peerBytes: number
  readonly crossRegionBytes: number
  readonly storeCalls: number
  /** How late the timer of this sample fired, in milliseconds. */
  readonly delayMs: number
}

export class ProcessMetrics implements IDisposable {
  private readonly _startedAtMs: MonotonicMs
  private readonly _timer: IDisposable
  /** Oldest first. */
  private readonly _samples: ISample[]

  public constructor (private readonly _clock: IClock & ITimers, private readonly _readings: IProcessReadings) {
    this._startedAtMs = _clock.nowMs()
    this._samples = [this._takeSample(0)]
    this._timer = _clock.every(SAMPLE_PERIOD_MS, () => this._addSample())
  }

  public current (): IProcessMetrics {
    const readings = this._readings
    const now = this._takeSample(0)
    const perSecond = (readingOf: (sample: ISample) => number) => this._rate(now, readingOf)
    return {
      uptimeMs: now.atMs - this._startedAtMs,
      processorShare: perSecond(sample => sample.processorMicros) / (SECOND_MS * MICROS_PER_MS),
      residentBytes: readings.residentBytes(),
      eventLoopDelayMs: Math.max(...this._samples.map(sample => sample.delayMs)),
      peerSentBytes: readings.peerSentBytes(),
      peerReceivedBytes: readings.peerReceivedBytes(),
      peerBytesPerSecond: perSecond(sample => sample.peerBytes),
      crossRegionSentBytes: now.crossRegionBytes,
      crossRegionBytesPerSecond: perSecond(sample => sample.crossRegionBytes),
      storeCalls: now.storeCalls,
      storeCallsPerSecond: perSecond(sample => sample.storeCalls)
    }
  }

  public dispose (): void {
    this._timer.dispose()
  }

  private _addSample (): void {
    const lastAtMs = this._samples.at(-1)?.atMs ?? this._startedAtMs
    const delayMs = this._clock.nowMs() - lastAtMs - SAMPLE_PERIOD_MS
    this._samples.push(this._takeSample(Math.max(0, delayMs)))
    if (this._samples.length > SAMPLES_PER_PERIOD) this._samples.shift()
  }

  private _rate (now: ISample, readingOf: (sample: ISample) => number): number {
    const oldest = this._samples[0] ?? now
    const elapsedMs = now.atMs - oldest.atMs
    return elapsedMs === 0 ? 0 : (readingOf(now) - readingOf(oldest)) / elapsedMs * SECOND_MS
  }

  private _takeSample (delayMs: number): ISample {
    const readings = this._readings
    return {
      atMs: this._clock.nowMs(),
      processorMicros: readings.processorMicros(),
      peerBytes: readings.peerSentBytes() + readings.peerReceivedBytes(),
      crossRegionBytes: readings.crossRegionSentBytes(),
      storeCalls: readings.storeCalls(),
      delayMs
    }
  }
}
