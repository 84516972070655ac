/**
 * Tests the operator's command line against a whole cell of real processes.
 */

import test from 'ava'
import { EXIT } from '../src/operator/ExitCodes.js'
import { Program } from '../src/operator/Program.js'
import { Cell, OPERATOR_TOKEN } from './support/Cell.js'
import { configureExamples } from './support/Configure.js'
import { operatorUrls } from './support/OperatorUrls.js'

import type { ExecutionContext } from 'ava'

const SMALL_CELL = { regions: ['okanagan'], runnersPerRegion: 2, workersPerRegion: 0 }
const POLL_MS = 50

async function startCell (t: ExecutionContext) {
  const cell = await Cell.start(SMALL_CELL)
  t.teardown(async () => {
    await cell.stopDaemons()
    await cell.dispose()
  })
  await configureExamples(cell.storeUrl)
  await cell.waitUntilServed()
  const environment = {
    JACKDAWREEL_OPERATOR: (await operatorUrls(cell))[0], JACKDAWREEL_GATEWAY: cell.gateways()[0]?.url, JACKDAWREEL_TOKEN: OPERATOR_TOKEN, USER: 'ann'
  }
  const run = async (...args: readonly string[]) => {
    const lines: string[] = []
    const add = (line: string) => { lines.push(line) }
    const console = { print: add, warn: add, printBytes: () => {}, readInput: async () => new Uint8Array(0) }
    return { code: await new Program(console, environment).run(args), text: lines.join('\n') }
  }
  return { cell, run }
}

// The store applies each change but loses its answer. The operator must not be told that a change failed that takes effect in every
// process a moment later. While the store can't be reached, reads still work and an edit is refused as not done.
test('an operator edits a profile despite lost answers and an outage, and sees it in force and requests counted', async t => {
  const { cell, run } = await startCell(t)
  await cell.control(cell.storeControlUrl, { loseAnswers: 1 })
  t.like(await run('profile', 'put', 'urgent', '--set', 'deadlineMs=4000'), { code: EXIT.done, text: 'accepted: profile urgent is at revision 2' })
  await cell.control(cell.storeControlUrl, { loseAnswers: 0, outage: 'hang' })
  while (true) {
    const { text } = await run('profile', 'get', 'urgent', '--everywhere', '--json')
    const { places } = JSON.parse(text) as { readonly places: ReadonlyArray<{ readonly revision?: number }> }
    if (places.length === 2 && places.every(place => place.revision === 2)) break
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
  const shown = await run('profile', 'get', 'urgent')
  t.regex(shown.text, /the store is out of reach: .*\n(.*\n)*deadlineMs +4000/)
  t.like(await run('profile', 'put', 'urgent', '--set', 'deadlineMs=3000'), { code: EXIT.refused })
  t.is((await run('submit', 'pivot-stop', '--idempotent', '--caller', 'crew-7')).code, EXIT.done)
  t.regex((await run('outcomes', '--everywhere', '--caller', 'crew-7')).text, /pivot-stop +crew-7 +1 +0 +0 +0 +0/)
  t.regex((await run('hosts', '--everywhere')).text, /runner-okanagan-1 .*ready/)
  await cell.control(cell.storeControlUrl, { outage: 'none' })
})
