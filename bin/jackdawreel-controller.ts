#!/usr/bin/env -S node --max-old-space-size=180 --max-semi-space-size=8
/**
 * The controller's binary: `jackdawreel-controller [--config FILE]`. Without arguments, the path of the settings file is read from
 * the environment.
 */

import { runController } from '../src/daemon/runController.js'

await runController()
