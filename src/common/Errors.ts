/**
 * Errors that say at which step and with which peer they arose, so that one log line is enough to place a failure.
 */

/** The base of all errors of this project. */
export class StepError extends Error {
  /**
   * @param step what was being done, for example `store.compareAndSwap`
   * @param peer the process, host or service it was done with
   */
  public constructor (
    public readonly step: string,
    public readonly peer: string,
    message: string,
    options?: { readonly cause?: unknown }
  ) {
    super(`${step} ${peer}: ${message}`, options)
    this.name = new.target.name
  }
}

/** The peer said no, for certain: nothing took effect. */
export class RefusedError extends StepError {}

/** Nobody was reached: nothing took effect. */
export class UnreachableError extends StepError {}

/** Sent, but no answer came: it may have taken effect. */
export class AmbiguousError extends StepError {}

/** A newer epoch exists: whoever gets this has lost ownership and must stop acting on it. */
export class FencedError extends RefusedError {
  public constructor (step: string, peer: string, public readonly currentEpoch: number) {
    super(step, peer, `fenced by epoch ${currentEpoch}`)
  }
}

/** A compare-and-swap lost against another writer. */
export class ConflictError extends RefusedError {}

/** Input that breaks a documented bound; `field` names it. */
export class InvalidInputError extends StepError {
  public constructor (step: string, peer: string, public readonly field: string, message: string) {
    super(step, peer, `${field}: ${message}`)
  }
}
