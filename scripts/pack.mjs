/**
 * Bundles the compiled controller into two scripts: its binary, and one with the controller and its dependencies. Both are CommonJS,
 * which starts faster than ES modules.
 */

import { build } from 'esbuild'
import { fileURLToPath } from 'node:url'

const options = {
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  absWorkingDir: fileURLToPath(new URL('..', import.meta.url)),
  alias: { undici: './scripts/packedUndici.cjs' },
  // These packages are loaded on demand, if a command line is parsed or if a gateway of jackdawreel runs.
  external: ['moleculer', 'moleculer-web', 'yargs'],
  supported: { 'dynamic-import': false },
  define: { 'import.meta.url': 'scriptUrl' },
  banner: { js: 'const scriptUrl = require("node:url").pathToFileURL(__filename).href' },
  minifyWhitespace: true,
  logLevel: 'error'
}

await build({ ...options, entryPoints: ['target/src/daemon/runController.js'], outfile: 'target/src/daemon/controller.cjs' })
await build({
  ...options, entryPoints: ['target/bin/jackdawreel-controller-packed.js'], outfile: 'target/bin/jackdawreel-controller-packed.cjs'
})
