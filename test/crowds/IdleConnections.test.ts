/**
 * Many connections that send nothing, to each port of a controller.
 */

import { crowdTest } from './CrowdTest.js'

for (const crowd of ['idleCallers', 'idleReadiness', 'idleMetrics', 'idlePeers'] as const) {
  crowdTest('idle connections do not exceed the descriptors of the machine', crowd)
}
