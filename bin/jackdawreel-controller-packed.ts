#!/usr/bin/env -S node --max-old-space-size=180 --max-semi-space-size=8
/**
 * The controller's binary as it is deployed: does the same as `jackdawreel-controller`, but loads the single script that
 * `npm run pack` builds.
 */

import { fileURLToPath } from 'node:url'
import { loadScript } from '../src/runtime/CodeCache.js'

/** The exit code with which the controller also reports that it can't start. */
const EXIT_START = 3

interface IPackedController {
  runController (origin: { readonly isCodeKept: boolean }): Promise<void>
}

const { exported, isCodeKept } = loadScript<IPackedController>(fileURLToPath(new URL('../src/daemon/controller.cjs', import.meta.url)))
exported.runController({ isCodeKept }).catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`)
  process.exit(EXIT_START)
})
