/**
 * `npm run bench -- slopes`: measures the cost of one more host, task, request, shard, link or member. Each slope is fitted to
 * three or more sizes and printed as one JSON line with the error of the fit. docs/CAPACITY.md computes the cost at the target size
 * from the slopes.
 *
 *     npm run bench -- slopes [engine config routing …]
 */

import { measureClaims } from './slopes/ClaimSlopes.js'
import { measureConfig } from './slopes/ConfigSlopes.js'
import { measureEngine } from './slopes/EngineSlopes.js'
import { measureIdle } from './slopes/IdleSlopes.js'
import { measureLinks } from './slopes/LinkSlopes.js'
import { measureMembers } from './slopes/MemberSlopes.js'
import { measureRouting } from './slopes/RoutingSlopes.js'
import { measureRunners } from './slopes/RunnerSlopes.js'
import { measureTakeover } from './slopes/TakeoverSlopes.js'
import { measureWorkers } from './slopes/WorkerSlopes.js'

const PARTS: Readonly<Record<string, () => Promise<void>>> = {
  engine: measureEngine,
  config: measureConfig,
  routing: measureRouting,
  workers: measureWorkers,
  runners: measureRunners,
  links: measureLinks,
  claims: measureClaims,
  takeover: measureTakeover,
  membership: measureMembers,
  idle: measureIdle
}

/** @param args the names of the parts to measure; all parts if empty */
export async function run (args: readonly string[]): Promise<void> {
  for (const name of args.length > 0 ? args : Object.keys(PARTS)) {
    const measure = PARTS[name]
    if (measure === undefined) throw new Error(`unknown part "${name}"; the parts are: ${Object.keys(PARTS).join(', ')}`)
    await measure()
  }
}
