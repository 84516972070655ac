/**
 * The callee process of the links bench: answers each request with the request's body, and reports its processor time.
 */

import { SystemClock } from '../src/common/Clock.js'
import { SeededRandom } from '../src/common/Random.js'
import { PeerHub } from '../src/peer/PeerHub.js'

const US_PER_MS = 1_000
const [sharedKey = ''] = process.argv.slice(2)
const clock = new SystemClock()
const self = { processId: 'callee', incarnation: 1, region: 'west', failureDomain: 'west-1' }
const hub = new PeerHub(self, { sharedKey }, { clock, timers: clock, random: new SeededRandom(1) })

hub.handle('submit', async ({ body }) => ({
  outcome: 'done', status: 200, contentType: 'application/json', body, upstream: 'r-17', region: 'west', waitMs: 1.25, serviceMs: 20.5, profileRevision: 3
}))
process.on('message', () => {
  const { user, system } = process.cpuUsage()
  process.send?.((user + system) / US_PER_MS)
})
process.on('disconnect', () => hub.dispose())
const started = await hub.start()
process.send?.(started.unwrapOr(''))
