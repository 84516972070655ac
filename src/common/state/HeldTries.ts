/**
 * A scheduler's side of all-at-once reservations: which try of each job it acts on.
 *
 * What can go wrong: a start or a reservation of an earlier try of a job arrives late, or one of a try whose places
 * have been given back. It would start a part of the job alone: one would see it hold its places and get nowhere. So
 * every command bears the number of its try, numbers only rise, and no command of an earlier try or of one that was
 * given back is acted on.
 */

export interface IHeldTry {
  readonly tryNumber: number
  /** Not given back. */
  readonly isOpen: boolean
}

export type IHeldTriesSnapshot = Readonly<Record<string, IHeldTry>>

export class HeldTries {
  private readonly _byJob: Map<string, IHeldTry>

  public constructor (from?: IHeldTriesSnapshot) {
    this._byJob = new Map(Object.entries(from ?? {}))
  }

  /** Begins a try, and with it ends the earlier ones; false when this one or a later one has been here. */
  public begin (jobId: string, tryNumber: number): boolean {
    const latest = this._byJob.get(jobId)
    if (latest !== undefined && tryNumber <= latest.tryNumber) return false
    this._byJob.set(jobId, { tryNumber, isOpen: true })
    return true
  }

  /** Whether a try's places may be started. */
  public mayStart (jobId: string, tryNumber: number): boolean {
    const latest = this._byJob.get(jobId)
    return latest?.tryNumber === tryNumber && latest.isOpen
  }

  /** Ends a try and all before it, whether or not they have been here; false when a later one has. */
  public giveBack (jobId: string, tryNumber: number): boolean {
    const latest = this._byJob.get(jobId)
    if (latest !== undefined && tryNumber < latest.tryNumber) return false
    this._byJob.set(jobId, { tryNumber, isOpen: false })
    return true
  }

  /** Forgets a job; no sooner than the longest time that a command can be on its way. */
  public forget (jobId: string): void {
    this._byJob.delete(jobId)
  }

  /** For the specification, which explores states. */
  public snapshot (): IHeldTriesSnapshot {
    return Object.fromEntries(this._byJob)
  }
}
