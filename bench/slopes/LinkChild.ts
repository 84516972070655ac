/**
 * The process at the other end of the links: runs the given number of hubs, which answer each call with the call's body.
 */

import { SystemClock } from '../../src/common/Clock.js'
import { SeededRandom } from '../../src/common/Random.js'
import { PeerHub } from '../../src/peer/PeerHub.js'

const [sharedKey = '', count = '1', heartbeatMs = '1000', silenceLimitMs = '3000'] = process.argv.slice(2)
const clock = new SystemClock()
const hubs = Array.from({ length: Number(count) }, (_, index) => new PeerHub(
  { processId: `callee-${index}`, incarnation: 1, region: 'west', failureDomain: 'west-1' },
  { sharedKey, heartbeatMs: Number(heartbeatMs), silenceLimitMs: Number(silenceLimitMs) },
  { clock, timers: clock, random: new SeededRandom(index + 1) }
))
for (const hub of hubs) {
  hub.handle('submit', async ({ body }) => ({ outcome: 'done', status: 200, contentType: 'application/json', body }))
}
process.on('disconnect', () => { for (const hub of hubs) hub.dispose() })
const urls = await Promise.all(hubs.map(async (hub) => (await hub.start()).unwrapOr('')))
process.send?.(urls)
