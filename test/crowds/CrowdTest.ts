/**
 * Declares the tests of crowds. Those that are listed in KNOWN-RED.txt because they fail at times are run and reported, and don't decide.
 */

import test from 'ava'
import { CrowdedCell } from './CrowdedCell.js'

import type { ExecutionContext } from 'ava'
import type { CrowdName } from './Crowds.js'

const UNSTEADY_CROWDS: ReadonlySet<CrowdName> = new Set<CrowdName>(['jobsAhead', 'bodiesInLargeChunks'])

/** Declares that a controller withstands the crowd. */
export function crowdTest (title: string, crowd: CrowdName): void {
  const withstands = async (t: ExecutionContext): Promise<void> => {
    const cell = await CrowdedCell.start(t)
    await cell.press(crowd)
  }
  if (!UNSTEADY_CROWDS.has(crowd)) return test.serial(`${title} (${crowd})`, withstands)
  test.serial(`listed in KNOWN-RED.txt: ${title} (${crowd})`, async (t) => {
    const attempt = await t.try(withstands)
    attempt.discard({ retainLogs: true })
    t.log(attempt.passed ? 'passed' : `failed: ${attempt.errors.map(({ message }) => message).join()}`)
    t.pass()
  })
}
