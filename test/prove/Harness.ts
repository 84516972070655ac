/**
 * Helpers that the proofs share: they start a configured cell, control its runners and build the result of a proof.
 */

import { Cell } from '../support/Cell.js'
import { configureExamples } from '../support/Configure.js'

import type { ICellOptions } from '../support/Cell.js'
import type { RecordChecker } from './RecordChecker.js'
import type { IProofResult, ProofBody } from './Types.js'

export const NON_IDEMPOTENT = ['pivot-start', 'neighbour-broadcast'] as const

export async function sleep (durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs))
}

/**
 * Runs `body` on a cell that is configured, serves requests in each region, and has its racks owned by schedulers of their
 * regions. The cell is always ended afterwards.
 */
export async function withCell (options: Partial<ICellOptions>, body: ProofBody): Promise<IProofResult> {
  const cell = await Cell.start({ workersPerRegion: 0, ...options })
  try {
    await configureExamples(cell.storeUrl)
    await cell.waitUntilServed()
    await cell.waitUntilSpread()
    return await body(cell)
  } finally {
    await cell.dispose()
  }
}

export async function setRunners (cell: Cell, control: unknown): Promise<void> {
  await Promise.all(cell.hosts.filter((host) => host.kind === 'runner').map(async (host) => { await cell.control(host.url, control) }))
}

export function proofResult (checker: RecordChecker, checked: number): IProofResult {
  return { checked, violations: checker.violations, notes: { ...checker.outcomes(), noUpstreamSeconds: checker.secondsByGateway('noUpstream') } }
}
