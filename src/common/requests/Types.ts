/**
 * A caller's request, independent of the protocol that it arrived by.
 */

export interface ICallerRequest {
  readonly service: string
  readonly caller: string
  readonly requestId: string
  /** Absent if the caller does not set it; the profile's default applies. */
  readonly idempotent?: boolean
  /** Milliseconds from arrival; absent if the caller does not set it, and the profile's default applies. */
  readonly deadlineMs?: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** The error that a caller gets for invalid input; nothing has run. */
export interface IBadInput {
  /** 400 for an invalid field, 404 for an unknown name, 413 for an oversize body, 415, 431. */
  readonly status: number
  readonly field: string
  readonly message: string
}
