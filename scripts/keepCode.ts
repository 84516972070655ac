/**
 * Keeps the code of the packed controller: `node FLAGS target/scripts/keepCode.js`, under the flags it will run with.
 */

import { fileURLToPath } from 'node:url'
import { writeCodeCache } from '../src/runtime/CodeCache.js'

const bytes = writeCodeCache(fileURLToPath(new URL('../src/daemon/controller.cjs', import.meta.url)))
process.stdout.write(`kept ${bytes} bytes of code\n`)
process.exit(0)
