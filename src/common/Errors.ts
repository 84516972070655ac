/**
 * Errors that name the step and the peer at which they arose, so that one log line is enough to locate a failure.
 */

/** The base class of all errors of this project. */
export class StepError extends Error {
  /**
   * @param step the operation, for example `store.compareAndSwap`
   * @param peer the process, host or service that the operation addressed
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

/** The peer refused the operation: it certainly had no effect. */
export class RefusedError extends StepError {}

/** The peer was not reached: the operation had no effect. */
export class UnreachableError extends StepError {}

/** The operation was sent, but no answer came: it may have taken effect. */
export class AmbiguousError extends StepError {}

/** A newer epoch exists: a process that gets this error has lost ownership and must stop acting as the owner. */
export class FencedError extends RefusedError {
  public constructor (step: string, peer: string, public readonly currentEpoch: number) {
    super(step, peer, `fenced by epoch ${currentEpoch}`)
  }
}

/** A compare-and-swap failed because another writer changed the value first. */
export class ConflictError extends RefusedError {}

/** Input that breaks a documented bound; `field` names the invalid field. */
export class InvalidInputError extends StepError {
  public constructor (step: string, peer: string, public readonly field: string, message: string) {
    super(step, peer, `${field}: ${message}`)
  }
}
