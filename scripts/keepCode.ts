/**
 * Writes V8's code cache for the packed controller: `node FLAGS target/scripts/keepCode.js`. FLAGS must be the flags with which the
 * controller will run, because V8 rejects cached code that was compiled under other flags.
 */

import { fileURLToPath } from 'node:url'
import { writeCodeCache } from '../src/runtime/CodeCache.js'

const bytes = writeCodeCache(fileURLToPath(new URL('../src/daemon/controller.cjs', import.meta.url)))
process.stdout.write(`wrote ${bytes} bytes of cached code\n`)
process.exit(0)
