/**
 * What the proofs share: a configured cell, control of its runners, and the form of a verdict.
 */

import { Cell } from '../support/Cell.js'
import { configureExamples } from '../support/Configure.js'

import type { ICellOptions } from '../support/Cell.js'
import type { Judge } from './Judge.js'
import type { IVerdict, OnCell } from './Types.js'

export const NON_IDEMPOTENT = ['pivot-start', 'neighbour-broadcast'] as const

export async function sleep (durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs))
}

/** A configured cell with requests served in each region and shards spread. */
export async function withCell (options: Partial<ICellOptions>, body: OnCell): Promise<IVerdict> {
  const cell = await Cell.start({ workersPerRegion: 0, ...options })
  try {
    await configureExamples(cell.storeUrl)
    await cell.untilServed()
    await cell.untilSpread()
    return await body(cell)
  } finally {
    await cell.dispose()
  }
}

export async function setRunners (cell: Cell, control: unknown): Promise<void> {
  await Promise.all(cell.hosts.filter((host) => host.kind === 'runner').map(async (host) => { await cell.control(host.url, control) }))
}

export function verdict (judge: Judge, checked: number): IVerdict {
  return { checked, violations: judge.violations, notes: { ...judge.outcomes(), noUpstreamSeconds: judge.timesOf('noUpstream') } }
}
