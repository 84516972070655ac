/**
 * Runs a script with V8's cached code, which is stored in a file beside the script.
 *
 * The cache shortens the restart of a process after a kill. A machine with a third of a core serves no caller before the process
 * has started, and most of the start time goes into reading and compiling libraries, module by module.
 */

import { readFileSync, writeFileSync } from 'node:fs'
import Module, { createRequire } from 'node:module'
import { dirname } from 'node:path'
import { Script } from 'node:vm'

/** The exports of a script, and whether V8 accepted the cached code. V8 rejects code of another version or of other flags. */
export interface ILoadedScript<T> {
  readonly exported: T
  readonly isCodeKept: boolean
}

type ModuleFunction = (exported: object, require: NodeJS.Require, self: { exports: object }, filename: string, directory: string) => void

/** Runs the CommonJS script at this path, with its cached code if there is any. */
export function loadScript<T> (path: string): ILoadedScript<T> {
  const script = compileScript(path, readCachedCode(path))
  return { exported: runScript(script, path) as T, isCodeKept: script.cachedDataRejected === false }
}

/** Runs the script once and writes the compiled code of the functions that ran to the cache file. Returns the number of bytes. */
export function writeCodeCache (path: string): number {
  const script = compileScript(path, undefined)
  runScript(script, path)
  const code = script.createCachedData()
  writeFileSync(cachePathOf(path), code)
  return code.length
}

function cachePathOf (path: string): string {
  return `${path}.code`
}

/** Reads the cached code; without it the script is compiled again, which only takes longer. */
function readCachedCode (path: string): Buffer | undefined {
  try {
    return readFileSync(cachePathOf(path))
  } catch {
    return undefined
  }
}

function compileScript (path: string, cachedData: Buffer | undefined): Script {
  return new Script(Module.wrap(readFileSync(path, 'utf8')), { filename: path, ...(cachedData === undefined ? {} : { cachedData }) })
}

function runScript (script: Script, path: string): object {
  const self: { exports: object } = { exports: {} }
  const moduleFunction = script.runInThisContext() as ModuleFunction
  moduleFunction(self.exports, createRequire(path), self, path, dirname(path))
  return self.exports
}
