/**
 * Reads the version of the installed package.
 */

import { readFileSync } from 'node:fs'

/** Relative to the compiled file in `dist/src/runtime/`. */
const PACKAGE_PATH = '../../../package.json'

export function packageVersion (): string {
  const text = readFileSync(new URL(PACKAGE_PATH, import.meta.url), 'utf8')
  return (JSON.parse(text) as { readonly version: string }).version
}
