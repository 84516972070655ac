/**
 * The steps that were turned away: they may not ask for advice now, because too many calls wait that would go before theirs.
 *
 * It is designed for an owner with few machines whose more urgent queues ask for more than these can call. The owner can't queue a call for
 * each of hundreds of waiting steps. A step that has been turned away for long may queue one all the same, the longest-waiting of its
 * priority first, and the wait of its call counts from when it was first turned away. So the turns after a long wait reach these steps too.
 */

import type { MonotonicMs } from '../Types.js'
import type { Step } from './Job.js'

/** A step that has not asked again for this long, in ms, needs no advice any more. */
const FORGET_AFTER_MS = 5000

interface ITurnedAway {
  readonly sinceMs: MonotonicMs
  askedAtMs: MonotonicMs
}

export class AdviceTurns {
  /** By priority; of each, by the time at which the step was first turned away. */
  private readonly _turnedAway = new Map<number, Map<Step, ITurnedAway>>()

  /** Records that the step was turned away. */
  public record (step: Step, nowMs: MonotonicMs): void {
    const steps = this._stepsLike(step)
    const known = steps.get(step)
    if (known === undefined) steps.set(step, { sinceMs: nowMs, askedAtMs: nowMs })
    else known.askedAtMs = nowMs
  }

  /** Whether the step is the one of its priority that has been turned away for longest, and since the given time at least. */
  public isNext (step: Step, longSinceMs: MonotonicMs, nowMs: MonotonicMs): boolean {
    const steps = this._stepsLike(step)
    for (const [first, { sinceMs, askedAtMs }] of steps) {
      if (first === step) return sinceMs <= longSinceMs
      if (nowMs - askedAtMs <= FORGET_AFTER_MS) return false
      steps.delete(first)
    }
    return false
  }

  /** Forgets the step, which may ask now. Returns since when it had been turned away. */
  public take (step: Step): MonotonicMs | undefined {
    const steps = this._stepsLike(step)
    const sinceMs = steps.get(step)?.sinceMs
    steps.delete(step)
    return sinceMs
  }

  private _stepsLike ({ job: { queue: { priority } } }: Step): Map<Step, ITurnedAway> {
    let steps = this._turnedAway.get(priority)
    if (steps === undefined) {
      steps = new Map()
      this._turnedAway.set(priority, steps)
    }
    return steps
  }
}
