#!/usr/bin/env -S node --max-semi-space-size=4 --max-old-space-size=96
/**
 * The scheduler's binary: `jackdawreel-scheduler --config FILE`.
 */

import { runDaemon } from '../src/daemon/runDaemon.js'
import { SchedulerDaemon } from '../src/daemon/SchedulerDaemon.js'

await runDaemon('scheduler', async (settings) => await SchedulerDaemon.create(settings))
