/**
 * Keeps the final answers of non-idempotent attempts, so that a repeated request gets the answer of its first attempt.
 */

import { LRUCache } from 'lru-cache'

import type { IClock, IFinalAnswer, ITimers } from '../../common/Types.js'

/** A daemon has 128 MB in all. At 1 KB per answer, this holds about eight thousand answers. */
const MAX_BYTES = 8 * 1024 * 1024
/** Claims are kept longer: a repeat that arrives after this time is told that the outcome is unknown. */
const RETENTION_MS = 600_000
const ENTRY_OVERHEAD_BYTES = 300

type Waiter = (answer: IFinalAnswer) => void

export class AnswerCache {
  private readonly _answers: LRUCache<string, IFinalAnswer>
  /** The attempts in progress in this process, with the callers that wait for their answers. */
  private readonly _open = new Map<string, Set<Waiter>>()

  public constructor (clock: IClock, private readonly _timers: ITimers) {
    this._answers = new LRUCache({
      maxSize: MAX_BYTES,
      sizeCalculation: (answer) => ENTRY_OVERHEAD_BYTES + (answer.body?.byteLength ?? 0),
      ttl: RETENTION_MS,
      perf: { now: () => clock.nowMs() }
    })
  }

  /** Marks the attempt as in progress; called before this process may dispatch it. */
  public open (attemptId: string): void {
    this._open.set(attemptId, new Set())
  }

  /** Stores the final answer of the attempt and passes it to all waiting callers. */
  public close (attemptId: string, answer: IFinalAnswer): void {
    const waiters = this._open.get(attemptId)
    this._open.delete(attemptId)
    this._answers.set(attemptId, answer)
    for (const waiter of waiters ?? []) waiter(answer)
  }

  /** The answer, waiting up to `waitMs` for it; `unknown` if it is no longer kept or isn't there in time. */
  public async outcomeOf (attemptId: string, waitMs: number): Promise<IFinalAnswer> {
    const known = this._answers.get(attemptId)
    if (known !== undefined) return known
    const waiters = this._open.get(attemptId)
    if (waiters === undefined) return unknownOutcome('the answer is no longer kept')
    return await this._waitForAnswer(waiters, waitMs)
  }

  private async _waitForAnswer (waiters: Set<Waiter>, waitMs: number): Promise<IFinalAnswer> {
    return await new Promise<IFinalAnswer>((resolve) => {
      const finish: Waiter = (answer) => {
        timer.dispose()
        waiters.delete(finish)
        resolve(answer)
      }
      const timer = this._timers.after(waitMs, () => finish(unknownOutcome('an earlier attempt of this id is still running')))
      waiters.add(finish)
    })
  }
}

function unknownOutcome (detail: string): IFinalAnswer {
  return { outcome: 'unknown', reason: 'duplicate', detail }
}
