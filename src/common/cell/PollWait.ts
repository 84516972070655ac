/**
 * Decides how long a poll of a host may wait for a run to end before the host answers.
 *
 * A poll renews the owner's lease on the host and reports progress, and each one costs the owner processor time. Designed for a fleet of
 * hundreds of hosts that are mostly idle beside an owner with a part of a core: polled once a second each, they would take most of its time,
 * and orders and answers to callers would be late. A host without runs has nothing to report, so its polls wait longer if there are many.
 */

/** How long a poll of a host with runs waits, in ms: bounds the age of the known progress. */
export const MIN_POLL_WAIT_MS = 1000
const MAX_POLL_WAIT_MS = 4000
/** The part of the longest lease that a poll may wait. The rest is for a poll that fails, and for the next one. */
const MAX_LEASE_SHARE = 0.5
/** The polls of idle hosts that an owner with one core makes in a second at most, unless the wait has reached its limit. */
const IDLE_POLLS_PER_CORE_S = 300
const MS_PER_S = 1000

export class PollWait {
  private readonly _maxWaitMs: number

  /**
   * @param _processorCores the processor capacity of this process, in cores
   * @param maxHoldMs the longest lease that a host grants to an owner, in ms
   */
  public constructor (private readonly _processorCores: number, maxHoldMs: number) {
    this._maxWaitMs = Math.max(MIN_POLL_WAIT_MS, Math.min(MAX_POLL_WAIT_MS, maxHoldMs * MAX_LEASE_SHARE))
  }

  /** @param hosts the number of hosts that this process polls */
  public waitMs (isIdle: boolean, hosts: number): number {
    if (!isIdle) return MIN_POLL_WAIT_MS
    const affordableMs = hosts / (IDLE_POLLS_PER_CORE_S * this._processorCores) * MS_PER_S
    return Math.min(this._maxWaitMs, Math.max(MIN_POLL_WAIT_MS, affordableMs))
  }
}
