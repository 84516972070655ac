/**
 * Checks that the pages list the log events, settings, exit codes, operator routes and profile fields of the code, and that the
 * links between the pages are valid.
 */

import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { dirname, join } from 'node:path'
import test from 'ava'
import { PROFILE_FIELDS } from '../src/common/config/ProfileSchema.js'
import { EXIT } from '../src/operator/ExitCodes.js'
import { OPERATOR_ROUTES } from '../src/runtime/OperatorRoutes.js'
import { SETTINGS_SECTIONS } from '../src/runtime/settings/SettingsSchema.js'

const LOG_CALL = /log(?:ger)?\??\.(?:debug|info|warn|error)\('([^']+)'/g
const LINK = /\]\(([^)#]+)[^)]*\)/g

function sources (folder: string): readonly string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter(name => name.endsWith('.ts') && !name.endsWith('.test.ts'))
    .map(name => readFileSync(join(folder, name), 'utf8'))
}

test('the operating pages list every log event, setting and exit code', t => {
  const page = readFileSync('docs/OPERATING.md', 'utf8') + readFileSync('docs/OPERATIONS.md', 'utf8')
  const events = sources('src').flatMap(text => [...text.matchAll(LOG_CALL)].map(match => match[1] ?? ''))
  t.true(events.length > 0)
  for (const event of events) t.true(page.includes(`\`${event}\``), event)
  for (const [section, schema] of Object.entries(SETTINGS_SECTIONS)) {
    const row = page.split('\n').find(line => line.startsWith(`| \`[${section}]\``)) ?? ''
    for (const key of Object.keys(schema.shape)) t.true(row.includes(`\`${key}\``), `${section}.${key}`)
  }
  for (const code of Object.values(EXIT)) t.true(page.includes(`\n| ${code} |`), String(code))
})

test('the page on the interfaces lists every operator route and profile field', t => {
  const page = readFileSync('docs/API.md', 'utf8')
  for (const route of Object.values(OPERATOR_ROUTES)) t.true(page.includes(`\`${route}\``), route)
  for (const field of PROFILE_FIELDS) t.true(page.includes(`| \`${field}\` |`), field)
})

test('links between the pages lead to existing files', t => {
  const pages = ['README.md', 'CONTRIBUTING.md', 'DEVELOPERS.md', ...readdirSync('docs').map(name => `docs/${name}`)].filter(name => name.endsWith('.md'))
  for (const page of pages) {
    const links = [...readFileSync(page, 'utf8').matchAll(LINK)].map(match => match[1] ?? '')
    for (const link of links.filter(each => !each.includes('://'))) t.true(existsSync(join(dirname(page), link)), `${page}: ${link}`)
  }
})
