/**
 * `npm run bench -- slopes`: what one more host, task, request, shard, link or member costs. Each slope comes from three
 * sizes or more and is printed as one JSON line with the fit's error; docs/CAPACITY.md works the target out from them.
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

/** @param args the parts to measure; all, if none are named */
export async function run (args: readonly string[]): Promise<void> {
  for (const name of args.length > 0 ? args : Object.keys(PARTS)) {
    const measure = PARTS[name]
    if (measure === undefined) throw new Error(`no part "${name}"; there are: ${Object.keys(PARTS).join(', ')}`)
    await measure()
  }
}
