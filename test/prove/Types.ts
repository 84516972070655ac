/**
 * The types of the proofs. A proof runs a cell of real processes, causes one kind of failure, and checks a property by what callers
 * and stand-ins recorded.
 */

import type { Cell } from '../support/Cell.js'
import type { ICall, IReply } from '../support/CallerClient.js'

/** One request and its answer, as its caller recorded them. */
export interface ICallRecord {
  readonly call: ICall
  readonly gateway: string
  readonly sentAtMs: number
  endedAtMs?: number
  /** Absent while the request is open and if the connection broke. */
  reply?: IReply
  /** The error, if the connection broke before the whole answer had arrived. */
  broken?: string
}

/** One start of a request, as the runner recorded it. */
export interface IRunnerRecord {
  readonly hostId: string
  readonly attemptId: string
  readonly requestId: string
  readonly caller: string
  readonly service: string
  readonly startedAt: number
  readonly endedAt?: number
}

export interface IProofResult {
  /** The number of observations that were checked; a proof with none counts as failed. */
  readonly checked: number
  /** The violations of the property, one line each; empty if it holds. */
  readonly violations: readonly string[]
  /** Further figures for the report. */
  readonly notes?: Readonly<Record<string, unknown>>
}

export interface IProof {
  readonly name: string
  readonly property: string
  readonly failure: string
  /** Whether the result depends on how long something took; CI leaves such a proof out because its machine may be busy. */
  readonly isTimed: boolean
  /** Runs the proof; `scale` is 1 in CI and larger in long runs. */
  run (scale: number): Promise<IProofResult>
}

/** Runs a proof on a cell that is ready. */
export type ProofBody = (cell: Cell) => Promise<IProofResult>
