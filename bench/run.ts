/**
 * Runs one bench by its name: `npm run bench -- NAME [arguments]`.
 */

import { stderr } from 'node:process'

interface IBench {
  run (args: readonly string[]): Promise<void>
}

/** Only the requested bench is loaded, so that a bench does not depend on the others. */
const BENCHES: Readonly<Record<string, string>> = {
  cellLoad: './cellLoad.js',
  controller: './controller.js',
  decisions: './decisions.js',
  links: './links.js',
  membership: './membership.js',
  passCost: './passCost.js',
  path: './path.js',
  slopes: './slopes.js'
}

const [name = '', ...args] = process.argv.slice(2)
const file = BENCHES[name]
if (file === undefined) {
  stderr.write(`unknown bench "${name}"; the benches are: ${Object.keys(BENCHES).join(', ')}\n`)
  process.exitCode = 2
} else {
  const bench = await import(file) as IBench
  await bench.run(args)
}
