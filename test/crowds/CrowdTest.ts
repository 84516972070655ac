/**
 * Declares the tests of crowds. A test that is listed in KNOWN-RED.txt must fail, so that an entry that no longer holds is noticed.
 */

import test from 'ava'
import { CrowdedCell } from './CrowdedCell.js'

import type { ExecutionContext } from 'ava'
import type { CrowdName } from './Crowds.js'

const FAILING_CROWDS: ReadonlySet<CrowdName> = new Set<CrowdName>([])

/** Declares that a controller withstands the crowd. */
export function crowdTest (title: string, crowd: CrowdName): void {
  const declare = FAILING_CROWDS.has(crowd) ? test.serial.failing : test.serial
  declare(`${title} (${crowd})`, async (t: ExecutionContext) => {
    const cell = await CrowdedCell.start(t)
    await cell.press(crowd)
  })
}
