#!/usr/bin/env -S node --max-old-space-size=180 --max-semi-space-size=8
/**
 * The controller's binary as it is deployed: the same as `jackdawreel-controller`, from the one script that `npm run pack` makes.
 */

import { fileURLToPath } from 'node:url'
import { loadScript } from '../src/runtime/CodeCache.js'

interface IPackedController {
  runController (origin: { readonly isCodeKept: boolean }): Promise<void>
}

const { exported, isCodeKept } = loadScript<IPackedController>(fileURLToPath(new URL('../src/daemon/controller.cjs', import.meta.url)))
await exported.runController({ isCodeKept })
