/**
 * A caller's request as the gateway understands it, whatever protocol it came in by.
 */

export interface ICallerRequest {
  readonly service: string
  readonly caller: string
  readonly requestId: string
  /** Absent when the caller doesn't say: the profile's default holds. */
  readonly idempotent?: boolean
  /** From arrival, in milliseconds; absent when the caller doesn't say. */
  readonly deadlineMs?: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** What a caller is told about input that breaks a rule; nothing has run. */
export interface IBadInput {
  /** 400 for a bad field, 404 for an unknown name, 413 for an oversize body, 415, 431. */
  readonly status: number
  readonly field: string
  readonly message: string
}
