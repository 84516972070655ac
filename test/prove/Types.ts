/**
 * Proofs between processes: each brings one failure about and is judged by what callers and stand-ins saw.
 */

import type { Cell } from '../support/Cell.js'
import type { ICall, IReply } from '../support/CallerClient.js'

/** One request as its caller saw it. */
export interface ICallRecord {
  readonly call: ICall
  readonly gateway: string
  readonly sentAtMs: number
  endedAtMs?: number
  /** Absent while it is open and when the connection broke. */
  reply?: IReply
  /** The connection broke before the whole answer. */
  broken?: string
}

/** A start as a runner recorded it. */
export interface IRunnerRecord {
  readonly hostId: string
  readonly attemptId: string
  readonly requestId: string
  readonly caller: string
  readonly service: string
  readonly startedAt: number
  readonly endedAt?: number
}

export interface IVerdict {
  readonly checked: number
  /** What broke the property, one line each; empty when it holds. */
  readonly violations: readonly string[]
  /** Further figures. */
  readonly notes?: Readonly<Record<string, unknown>>
}

export interface IProof {
  readonly name: string
  readonly property: string
  readonly failure: string
  /** Whether its verdict depends on how long something took; such a proof is left out of CI, whose machine may be busy. */
  readonly isTimed: boolean
  /** `scale` is 1 in CI and larger in long runs. */
  run (scale: number): Promise<IVerdict>
}

/** Builds a cell, runs the proof on it and always ends what was started. */
export type OnCell = (cell: Cell) => Promise<IVerdict>
