#!/usr/bin/env -S node --max-semi-space-size=4 --max-old-space-size=96
/**
 * The gateway's binary: `jackdawreel-gateway --config FILE`.
 */

import { GatewayDaemon } from '../src/daemon/GatewayDaemon.js'
import { runDaemon } from '../src/daemon/runDaemon.js'

await runDaemon('gateway', async (settings) => {
  if (settings.caller === undefined) throw new Error('the section [caller] is missing: a gateway needs an address to listen for callers')
  return await GatewayDaemon.create(settings, settings.caller)
})
