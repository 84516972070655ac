import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { basename, join } from 'node:path'
import test from 'ava'

const SOURCE_FOLDERS = ['src', 'test', 'spec', 'bench', 'platform', 'scripts', 'bin']
const FOLDERS = [...SOURCE_FOLDERS, 'deploy', 'charts', 'docs', 'examples']
const PAGE_FOLDERS = ['.', 'docs', 'docs/design', 'docs/incidents']

const CODE_BLOCK = /^```.*?^```/gms
const QUOTED = /`([^`]+)`/g
const WORD = /\w+/g
const COMMENT_LINE = /^\s*(?:\/?\*|\/\/).*$/gm
const SOURCE_FILE = /\.(?:[cm]?ts|[cm]?js)$/
const PATH = new RegExp(`^(?:${FOLDERS.join('|')})/`)
/** A path with one of these characters stands for several files or for one that the reader has to fill in. */
const PLACEHOLDER = /[*?<>{}[\]$…]|\.\.\./
/** A file in any folder, such as `Clock.ts` or `Clock.test.ts`. */
const FILE_NAME = /^[A-Z]\w*(?:\.\w+)*\.[cm]?ts$/
/** A class or interface with two capitals or more, such as `HostState`. A word of capitals alone is an HTTP method, signal or placeholder. */
const DECLARATION = /^(?=.*[a-z])[A-Z][a-z0-9]*[A-Z][A-Za-z0-9]*$/
/** Such as `MAX_DRIFT`. */
const CONSTANT = /^[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+$/

function pages (): readonly string[] {
  return PAGE_FOLDERS.flatMap(folder => readdirSync(folder).filter(name => name.endsWith('.md')).map(name => join(folder, name)))
}

/** What stands in backquotes in a page, each with its page for the report. */
function quotedIn (page: string): ReadonlyArray<{ readonly page: string, readonly text: string }> {
  const prose = readFileSync(page, 'utf8').replace(CODE_BLOCK, '')
  return [...prose.matchAll(QUOTED)].map(match => ({ page, text: (match[1] ?? '').replace(/\s+/g, ' ') }))
}

function sourceFiles (): readonly string[] {
  return SOURCE_FOLDERS.flatMap(folder =>
    readdirSync(folder, { recursive: true, encoding: 'utf8' }).filter(name => SOURCE_FILE.test(name)).map(name => join(folder, name)))
}

test('every path of the tree that a page names exists', t => {
  const paths = pages().flatMap(quotedIn)
    .map(({ page, text }) => ({ page, path: text.split(' ')[0] ?? '' }))
    .filter(({ path }) => PATH.test(path) && !PLACEHOLDER.test(path))
  t.true(paths.length > 0)
  t.deepEqual(paths.filter(({ path }) => !existsSync(path)).map(({ page, path }) => `${page}: ${path}`), [])
})

/** The words of a source file without its comments, which may name something that no longer exists. */
function wordsOf (file: string): readonly string[] {
  return readFileSync(file, 'utf8').replace(COMMENT_LINE, '').match(WORD) ?? []
}

test('every class, constant and source file that a page names stands in the sources', t => {
  const files = sourceFiles()
  const fileNames = new Set(files.map(file => basename(file)))
  const words = new Set(files.flatMap(wordsOf))
  for (const name of fileNames) words.add(name.replace(/\..*$/, ''))
  const isName = (text: string): boolean => FILE_NAME.test(text) || DECLARATION.test(text) || CONSTANT.test(text)
  const names = pages().flatMap(quotedIn).filter(({ text }) => isName(text))
  t.true(names.length > 0)
  const exists = (name: string): boolean => (FILE_NAME.test(name) ? fileNames : words).has(name)
  t.deepEqual(names.filter(({ text }) => !exists(text)).map(({ page, text }) => `${page}: ${text}`), [])
})
