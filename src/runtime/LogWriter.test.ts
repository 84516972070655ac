/**
 * Tests the log output of a process, also while no program reads it.
 */

import test from 'ava'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { text } from 'node:stream/consumers'
import { fileURLToPath } from 'node:url'
import { ManualClock } from '../common/Clock.js'
import { LogWriter } from './LogWriter.js'

const LOGGER_URL = new URL('./Logger.js', import.meta.url).href
const CLOCK_URL = new URL('../common/Clock.js', import.meta.url).href
/** 400 turns of 500 lines are 40 MB, many times the limit of waiting lines. */
const TURNS = 400
const LINES_A_TURN = 500
const MAX_GROWTH_BYTES = 15_000_000

function startLogging (script: string) {
  const head = `
    import { Logger } from '${LOGGER_URL}'
    import { SystemClock } from '${CLOCK_URL}'
    const log = new Logger(new SystemClock(), { processId: 'p', level: 'info', maxLinesPerSecond: 1e9 })`
  const args = ['--expose-gc', '--input-type=module', '-e', head + script]
  return spawn(process.execPath, args, { cwd: fileURLToPath(new URL('.', import.meta.url)) })
}

test('a process whose log is not read keeps running with bounded memory, and exits', async (t) => {
  // The log collector of a machine hangs. Without a limit, waiting lines fill the memory of the controller until it is killed,
  // again and again, and its callers are refused.
  const child = startLogging(`
    const used = () => { gc(); const { heapUsed, external } = process.memoryUsage(); return heapUsed + external }
    const before = used()
    for (let turn = 0; turn < ${TURNS}; turn += 1) {
      for (let i = 0; i < ${LINES_A_TURN}; i += 1) log.info('a.line', { number: i, text: 'x'.repeat(100) })
      await new Promise((resolve) => setImmediate(resolve))
    }
    process.stderr.write(String(used() - before))
    setTimeout(() => process.exit(0), 800)`)
  child.stdout.pause()
  const errors = text(child.stderr)
  const [code] = await once(child, 'exit') as [number]
  t.is(code, 0)
  t.true(Number(await errors) < MAX_GROWTH_BYTES, await errors)
  child.stdout.destroy()
})

test('the last lines before the exit of the process are written', async (t) => {
  const child = startLogging(`
    for (let i = 0; i < 5; i += 1) log.info('a.line', { number: i })
    process.exit(0)`)
  const lines = (await text(child.stdout)).trim().split('\n').map((line) => JSON.parse(line) as { readonly number: number })
  t.deepEqual(lines.map((line) => line.number), [0, 1, 2, 3, 4])
})

test('whole lines are written in chunks that a pipe accepts at once', (t) => {
  // Several processes may write to one collector. In a larger chunk, lines of other processes could split a line, which would then
  // be unreadable.
  const clock = new ManualClock()
  const chunks: string[] = []
  const writer = new LogWriter(clock, { writableLength: 0, write: (text) => chunks.push(text) > 0 })
  for (let number = 0; number < 100; number += 1) writer.write(`${String(number).padStart(199, ' ')}\n`)
  clock.advance(50)
  writer.dispose()
  t.true(chunks.every((chunk) => chunk.length <= 4096 && chunk.endsWith('\n')))
  t.is(chunks.join('').split('\n').length, 101)
})
