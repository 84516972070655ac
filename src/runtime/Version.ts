/**
 * The version of the installed package.
 */

import { readFileSync } from 'node:fs'

/** From the compiled file's place below `dist` to the root of the package. */
const PACKAGE_FILE = '../../../package.json'

export function packageVersion (): string {
  const text = readFileSync(new URL(PACKAGE_FILE, import.meta.url), 'utf8')
  return (JSON.parse(text) as { readonly version: string }).version
}
