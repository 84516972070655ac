/**
 * Clients whose headers or trailers never end.
 */

import { crowdTest } from './CrowdTest.js'

crowdTest('headers that never end do not end a process', 'endlessHeaders')
crowdTest('headers that stop short of their limit do not end a process', 'unfinishedHeaders')
crowdTest('trailers that never end do not end a process', 'endlessTrailers')
