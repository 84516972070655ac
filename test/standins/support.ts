/**
 * Starts a stand-in program: it listens, prints a ready line with its addresses, and ends on SIGTERM.
 */

import { StandInServer } from './StandInServer.js'

import type { IStandIn } from './StandInServer.js'

/** Starts one server for each stand-in and prints the ready line. `port` is used only if there is just one stand-in. */
export async function runStandIns (
  standIns: readonly IStandIn[], port: number, extra: Readonly<Record<string, unknown>> = {}): Promise<readonly StandInServer[]> {
  const servers = standIns.map((standIn) => new StandInServer(standIn))
  const urls = await Promise.all(servers.map((server) => server.listen(servers.length === 1 ? port : 0)))
  process.on('SIGTERM', () => {
    for (const server of servers) server.close()
    process.exit(0)
  })
  process.stdout.write(JSON.stringify({ ready: true, url: urls[0], ...(urls.length > 1 ? { urls } : {}), ...extra }) + '\n')
  return servers
}

/** Returns `count` ids of the form `prefix-index`. */
export function hostIds (prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`)
}
