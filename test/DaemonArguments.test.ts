/**
 * Tests the arguments and exit codes of the daemons and of the command line, each as a process of its own.
 */

import { spawn } from 'node:child_process'
import test from 'ava'

interface IEnd {
  readonly code: number | null
  readonly output: string
}

async function run (binary: string, ...args: readonly string[]): Promise<IEnd> {
  const child = spawn(process.execPath, [`dist/bin/${binary}.js`, ...args], { stdio: 'pipe' })
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', chunk => { output += String(chunk) })
  const code = await new Promise<number | null>(resolve => { child.once('close', resolve) })
  return { code, output }
}

test('daemons print how to start them, and report a wrong start in one line', async t => {
  const gateway = 'examples/fraser/fraser-gateway.ini'
  const cases: ReadonlyArray<readonly [string, readonly string[], number, RegExp]> = [
    ['jackdawreel-gateway', ['--help'], 0, /--config/],
    ['jackdawreel-scheduler', ['--version'], 0, /^\d+\.\d+\.\d+\n$/],
    ['jackdawreel-gateway', [], 2, /^Missing required argument: config; name the settings file with --config FILE\n$/],
    ['jackdawreel-gateway', ['--confg', gateway], 2, /--config FILE\n$/],
    ['jackdawreel-gateway', ['--config', 'no-such-file'], 2, /^the settings file no-such-file can't be read; check the path\n$/],
    ['jackdawreel-gateway', ['--config', 'package.json'], 2, /^package.json: \[process\] role: is missing; must be one of gateway, scheduler; .*\n$|must be "\[section\]"/],
    ['jackdawreel-scheduler', ['--config', gateway], 2, /is for a gateway; start jackdawreel-gateway with it\n$/]
  ]
  const ends = await Promise.all(cases.map(async ([binary, args]) => await run(binary, ...args)))
  cases.forEach(([binary, args, code, output], index) => {
    t.is(ends[index]?.code, code, `${binary} ${args.join(' ')}`)
    t.regex(ends[index]?.output ?? '', output)
  })
})

/**
 * An operator pipes a long table into `head`, which closes the pipe after its lines. If the error of the closed pipe were not
 * handled, the operator would see a stack trace, and a script that checks exit codes would take the command for failed.
 */
test('the command line exits with success when the reader of its output closes the pipe', async t => {
  const settings = 'examples/fraser/fraser-gateway.ini'
  const child = spawn(process.execPath, ['dist/bin/jackdawreel.js', 'check-settings', settings], { stdio: ['ignore', 'pipe', 'pipe'] })
  child.stdout.destroy()
  let errors = ''
  child.stderr.on('data', chunk => { errors += String(chunk) })
  const code = await new Promise<number | null>(resolve => { child.once('close', resolve) })
  t.is(errors, '')
  t.is(code, 0)
})
