/**
 * Tests the controller in the form in which it is deployed; `npm run pack` must have built it.
 */

import test from 'ava'
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { loadScript } from '../runtime/CodeCache.js'

const ROOT_URL = new URL('../../../', import.meta.url)
const SCRIPT_PATH = fileURLToPath(new URL('target/src/daemon/controller.cjs', ROOT_URL))
/** The command that the deployment runs. V8 rejects cached code that was compiled under other flags. */
const DEPLOYED_COMMAND = /^run = "node (.*) target\/bin\/\S+"$/m.exec(readFileSync(new URL('deploy/system.toml', ROOT_URL), 'utf8'))
const FLAGS = DEPLOYED_COMMAND?.[1]?.split(' ') ?? []

test('V8 accepts the cached code under the flags that the controller is deployed with', (t) => {
  // If a flag differed, V8 would compile all code again at every start. Nothing fails then, but after each kill callers wait a second
  // longer.
  t.true(FLAGS.length > 0)
  t.true(existsSync(`${SCRIPT_PATH}.code`))
  const script = `
    import { loadScript } from '${new URL('./dist/src/runtime/CodeCache.js', ROOT_URL).href}'
    process.stdout.write(String(loadScript('${SCRIPT_PATH}').isCodeKept))
    process.exit(0)`
  const { stdout } = spawnSync(process.execPath, [...FLAGS, '--input-type=module', '-e', script], { encoding: 'utf8' })
  t.is(stdout, 'true')
})

test('the packed script contains every module that it loads at its start', (t) => {
  t.is(typeof loadScript<{ readonly runController: unknown }>(SCRIPT_PATH).exported.runController, 'function')
})

test('the packed binary exits with an error if the settings file can\'t be read', (t) => {
  const binary = fileURLToPath(new URL('target/bin/jackdawreel-controller-packed.cjs', ROOT_URL))
  const { status, stderr } = spawnSync(process.execPath, [...FLAGS, binary, '--config', '/nowhere.ini'], { encoding: 'utf8' })
  t.is(status, 2)
  t.regex(stderr, /settings file can't be read/)
})
