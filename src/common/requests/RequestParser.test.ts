/**
 * The validation of a caller's request headers.
 */

import test from 'ava'
import fc from 'fast-check'

import { parseRequestHead } from './RequestParser.js'

const HEAD = { 'x-jackdawreel-caller': 'clinic-4', 'x-jackdawreel-request-id': 'r-1' }

test('optional headers that are missing stay undefined, so that the profile decides', (t) => {
  const head = parseRequestHead('chip-lookup', HEAD)._unsafeUnwrap()
  t.deepEqual(head, { service: 'chip-lookup', caller: 'clinic-4', requestId: 'r-1', contentType: 'application/octet-stream' })
})

for (const [field, headers] of [
  ['x-jackdawreel-caller', { 'x-jackdawreel-request-id': 'r-1' }],
  ['x-jackdawreel-request-id', { ...HEAD, 'x-jackdawreel-request-id': 'a b' }],
  ['x-jackdawreel-request-id', { ...HEAD, 'x-jackdawreel-request-id': 'x'.repeat(129) }],
  ['x-jackdawreel-idempotent', { ...HEAD, 'x-jackdawreel-idempotent': 'yes' }],
  ['x-jackdawreel-deadline-ms', { ...HEAD, 'x-jackdawreel-deadline-ms': '5' }],
  ['x-jackdawreel-deadline-ms', { ...HEAD, 'x-jackdawreel-deadline-ms': '1e3' }]
] as const) {
  test(`an error names its field: ${JSON.stringify(headers).slice(-90)}`, (t) => {
    t.like(parseRequestHead('chip-lookup', headers)._unsafeUnwrapErr(), { status: 400, field })
  })
}

test('any headers give a request head or an error, never an exception', (t) => {
  const values = fc.option(fc.oneof(fc.string(), fc.array(fc.string())), { nil: undefined })
  const names = fc.constantFrom('x-jackdawreel-caller', 'x-jackdawreel-request-id', 'x-jackdawreel-idempotent', 'x-jackdawreel-deadline-ms')
  fc.assert(fc.property(fc.string(), fc.dictionary(names, values), (service, headers) => {
    const head = parseRequestHead(service, headers)
    return head.isErr() ? head.error.status === 400 : head.value.service === service
  }), { seed: 11, numRuns: 500 })
  t.pass()
})
