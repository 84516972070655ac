/**
 * Presses on a controller until it is killed: `runCrowd NAME URL`. A crowd is a process of its own, so that it takes no time from the
 * stand-ins of the platform.
 */

import { Crowd } from './Crowd.js'
import { CROWDS } from './Crowds.js'

import type { CrowdName } from './Crowds.js'

const [, , name = '', url = ''] = process.argv
const { clients, script } = CROWDS[name as CrowdName]
new Crowd(url, clients, script).start()
process.stdout.write(`${JSON.stringify({ ready: true, url })}\n`)
