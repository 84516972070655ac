/**
 * Clients that send requests ahead, as fast as their connections take them, and don't read the answers.
 */

import { crowdTest } from './CrowdTest.js'

crowdTest('requests sent ahead whose answers are not read do not end a process', 'requestsAhead')
crowdTest('jobs sent ahead whose answers are not read do not end a process', 'jobsAhead')
crowdTest('requests sent ahead without the host header do not end a process', 'requestsWithoutHost')
crowdTest('requests sent ahead to the readiness port do not end a process', 'readinessAhead')
crowdTest('requests sent ahead to the metrics port do not end a process', 'metricsAhead')
crowdTest('requests sent ahead to the peer port do not end a process', 'peerAhead')
