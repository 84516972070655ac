/**
 * The start of a stand-in program: listens, prints one line that tells where, and ends on SIGTERM.
 */

import { StandInServer } from './StandInServer.js'

import type { IStandIn } from './StandInServer.js'

/** Starts one server per stand-in in this process and prints the ready line. `port` is for the first of one. */
export async function runProgram (
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

/** `{ prefix }-{ index }` for each of `count`. */
export function hostIds (prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`)
}
