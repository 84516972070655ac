/**
 * Advances a test's clock in small steps and lets pending promises settle after each step.
 */

import { setImmediate } from 'node:timers/promises'

import type { ManualClock } from '../../src/common/Clock.js'

const TURNS = 6

/** Lets all code run that waits for promises only, not for the clock. */
export async function settle (): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) await setImmediate()
}

export async function advance (clock: ManualClock, byMs: number, stepMs = 50): Promise<void> {
  for (let doneMs = 0; doneMs < byMs; doneMs += stepMs) {
    clock.advance(Math.min(stepMs, byMs - doneMs))
    await settle()
  }
}
