#!/usr/bin/env node
/**
 * The scheduler's binary: `jackdawreel-scheduler --config FILE`.
 */

import { runDaemon } from '../src/daemon/runDaemon.js'
import { SchedulerDaemon } from '../src/daemon/SchedulerDaemon.js'

await runDaemon('scheduler', async (settings) => await SchedulerDaemon.create(settings))
