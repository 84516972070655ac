/**
 * Keeps the final answers of non-idempotent attempts, so that a repeat of the id gets the first one's answer.
 */

import { LRUCache } from 'lru-cache'

import type { IClock, IFinalAnswer, ITimers } from '../../common/Types.js'

/** A daemon has 128 MB in all; at 1 KB an answer this keeps some eight thousand. */
const MAX_BYTES = 8 * 1024 * 1024
/** Claims are kept for longer: a repeat that comes after this hears that the outcome is unknown. */
const KEPT_MS = 600_000
const ENTRY_OVERHEAD_BYTES = 300

type Waiter = (answer: IFinalAnswer) => void

export class AnswerCache {
  private readonly _answers: LRUCache<string, IFinalAnswer>
  /** Attempts that this process works on now, with those who wait for their answer. */
  private readonly _open = new Map<string, Set<Waiter>>()

  public constructor (clock: IClock, private readonly _timers: ITimers) {
    this._answers = new LRUCache({
      maxSize: MAX_BYTES,
      sizeCalculation: (answer) => ENTRY_OVERHEAD_BYTES + (answer.body?.byteLength ?? 0),
      ttl: KEPT_MS,
      perf: { now: () => clock.nowMs() }
    })
  }

  /** This process may dispatch the attempt from now on. */
  public open (attemptId: string): void {
    this._open.set(attemptId, new Set())
  }

  /** The attempt has its final answer. */
  public close (attemptId: string, answer: IFinalAnswer): void {
    const waiters = this._open.get(attemptId)
    this._open.delete(attemptId)
    this._answers.set(attemptId, answer)
    for (const waiter of waiters ?? []) waiter(answer)
  }

  /** The answer, now or within `waitMs`; unknown when this process has forgotten it or it takes longer. */
  public async outcomeOf (attemptId: string, waitMs: number): Promise<IFinalAnswer> {
    const known = this._answers.get(attemptId)
    if (known !== undefined) return known
    const waiters = this._open.get(attemptId)
    if (waiters === undefined) return unknown('its answer is no longer kept')
    return await this._wait(waiters, waitMs)
  }

  private async _wait (waiters: Set<Waiter>, waitMs: number): Promise<IFinalAnswer> {
    return await new Promise<IFinalAnswer>((resolve) => {
      const finish: Waiter = (answer) => {
        timer.dispose()
        waiters.delete(finish)
        resolve(answer)
      }
      const timer = this._timers.after(waitMs, () => finish(unknown('an earlier attempt of this id still runs')))
      waiters.add(finish)
    })
  }
}

function unknown (detail: string): IFinalAnswer {
  return { outcome: 'unknown', reason: 'duplicate', detail }
}
