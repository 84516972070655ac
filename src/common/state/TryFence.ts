/**
 * A scheduler's side of all-at-once reservations: which try of each job it accepts commands for.
 *
 * It guards against this failure: a start or a reservation of an earlier try, or of a try whose places have been given back,
 * arrives late. It would start a part of the job alone, which would occupy its places without progress. So every command carries
 * the number of its try, the numbers only increase, and commands of an earlier try or of one that was given back are refused.
 */

export interface ITryState {
  readonly tryNumber: number
  /** False once the try was given back. */
  readonly isOpen: boolean
}

export type ITryFenceSnapshot = Readonly<Record<string, ITryState>>

export class TryFence {
  private readonly _byJob: Map<string, ITryState>

  public constructor (from?: ITryFenceSnapshot) {
    this._byJob = new Map(Object.entries(from ?? {}))
  }

  /** Begins a try, which ends all earlier ones. Returns false if this try or a later one has been seen. */
  public begin (jobId: string, tryNumber: number): boolean {
    const latest = this._byJob.get(jobId)
    if (latest !== undefined && tryNumber <= latest.tryNumber) return false
    this._byJob.set(jobId, { tryNumber, isOpen: true })
    return true
  }

  /** Whether the tasks of a try may be started. */
  public mayStart (jobId: string, tryNumber: number): boolean {
    const latest = this._byJob.get(jobId)
    return latest?.tryNumber === tryNumber && latest.isOpen
  }

  /** Ends a try and all earlier ones, whether or not they have been seen. Returns false if a later one has. */
  public giveBack (jobId: string, tryNumber: number): boolean {
    const latest = this._byJob.get(jobId)
    if (latest !== undefined && tryNumber < latest.tryNumber) return false
    this._byJob.set(jobId, { tryNumber, isOpen: false })
    return true
  }

  /** Forgets a job. To be called no sooner than after the longest time for which a command can be in flight. */
  public forget (jobId: string): void {
    this._byJob.delete(jobId)
  }

  /** The state as plain data, for the specification, which explores states. */
  public snapshot (): ITryFenceSnapshot {
    return Object.fromEntries(this._byJob)
  }
}
