import test from 'ava'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { writeCodeCache, loadScript } from './CodeCache.js'

import type { ExecutionContext } from 'ava'

interface IExported {
  double (value: number): number
  readonly folder: string
  readonly separator: string
}

const SCRIPT = "const path = require('node:path'); exports.double = (value) => value * 2; exports.folder = __dirname; exports.separator = path.sep"

function scriptIn (t: ExecutionContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'jackdawreel-'))
  t.teardown(() => { rmSync(folder, { recursive: true, force: true }) })
  const path = join(folder, 'script.cjs')
  writeFileSync(path, SCRIPT)
  return path
}

test('a script runs with its cached code', (t) => {
  const path = scriptIn(t)
  t.true(writeCodeCache(path) > 0)
  const { exported, isCodeKept } = loadScript<IExported>(path)
  t.true(isCodeKept)
  t.is(exported.double(21), 42)
  t.is(join(exported.folder, 'script.cjs'), path)
})

test('cached code of another version of the script is not used', (t) => {
  // A build is interrupted after it has written the script and before it has written the cached code. With the old cached
  // code the process would run another version than the script.
  const path = scriptIn(t)
  writeCodeCache(path)
  writeFileSync(path, SCRIPT.replace('value * 2', 'value * 2000'))
  const { exported, isCodeKept } = loadScript<IExported>(path)
  t.false(isCodeKept)
  t.is(exported.double(21), 42_000)
})

test('a script runs without cached code if that is corrupt or missing', (t) => {
  const path = scriptIn(t)
  writeFileSync(`${path}.code`, 'not code')
  t.false(loadScript<IExported>(path).isCodeKept)
  rmSync(`${path}.code`)
  t.is(loadScript<IExported>(path).exported.double(1), 2)
})
