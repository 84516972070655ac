/**
 * Schemas for the values of settings. Each parses and checks the text of a value, and describes the allowed values for error
 * messages.
 */

import { isIP } from 'node:net'
import * as z from 'zod'

import type { IListenAddress, ISeedSettings } from './Types.js'

const MAX_PORT = 65_535
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/
const LISTEN_PATTERN = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/
const MIN_SECRET_CHARS = 16
const MAX_SECRET_CHARS = 256

/** A whole number between two bounds. */
export function wholeNumber (min: number, max: number, unit: string) {
  return z.string().regex(/^\d{1,15}$/).transform(Number).pipe(z.number().min(min).max(max))
    .describe(`must be a whole number of ${unit} from ${min} to ${max}`)
}

/** A name of letters, digits and `. _ -`, as in regions and process ids. */
export function simpleName () {
  return z.string().regex(NAME_PATTERN).describe('must be 1 to 63 letters, digits, dots, dashes or underscores')
}

/** Different names, separated by commas. */
export function nameList () {
  return z.string()
    .transform(text => text.split(',').map(name => name.trim()))
    .pipe(z.array(z.string().regex(NAME_PATTERN)).min(1).max(64))
    .refine(names => new Set(names).size === names.length)
    .describe('must be 1 to 64 different names, separated by commas')
}

/** One of the given words. */
export function oneOf<const T extends readonly [string, ...string[]]> (words: T) {
  return z.enum(words).describe(`must be one of ${words.join(', ')}`)
}

export function secret () {
  return z.string().min(MIN_SECRET_CHARS).max(MAX_SECRET_CHARS).regex(/^[\x21-\x7e]+$/)
    .describe(`must be ${MIN_SECRET_CHARS} to ${MAX_SECRET_CHARS} printable characters without spaces`)
}

/** An address with an IP number, never a host name, so that no process waits for a name service. */
export function listenAddress () {
  return z.string().transform((text, context) => parseListen(text) ?? reportMalformed(context))
    .describe(`must be ip:port, for example 10.0.0.7:7100 or [fd00::7]:7100, with a port from 0 to ${MAX_PORT}`)
}

/** The processes to contact first, as `id@ip:port`, separated by commas. */
export function seedList () {
  return z.string()
    .transform((text, context) => {
      const seeds = text.split(',').map(seed => parseSeed(seed.trim()))
      return seeds.some(seed => seed === undefined) ? reportMalformed(context) : seeds as readonly ISeedSettings[]
    })
    .describe('must be one or several id@ip:port, separated by commas, for example scheduler-1@10.0.0.7:7101')
}

function parseSeed (text: string): ISeedSettings | undefined {
  const [processId = '', address = '', ...rest] = text.split('@')
  const isValid = rest.length === 0 && NAME_PATTERN.test(processId) && parseListen(address) !== undefined
  return isValid ? { processId, peerUrl: `ws://${address}` } : undefined
}

export function httpUrl () {
  return z.string().refine(isIpUrl).describe('must be a URL by IP number, for example http://10.0.0.9:2379')
}

function reportMalformed (context: z.RefinementCtx): never {
  context.addIssue({ code: 'custom', message: 'malformed' })
  return z.NEVER
}

function parseListen (text: string): IListenAddress | undefined {
  const match = LISTEN_PATTERN.exec(text)
  const ip = match?.[1] ?? match?.[2] ?? ''
  const port = Number(match?.[3])
  return isIP(ip) !== 0 && port <= MAX_PORT ? { ip, port } : undefined
}

function isIpUrl (text: string): boolean {
  if (!URL.canParse(text)) return false
  const url = new URL(text)
  const isPlain = url.pathname === '/' && url.search === '' && url.hash === '' && url.username === '' && url.password === ''
  return isPlain && /^https?:$/.test(url.protocol) && isIP(url.hostname.replace(/^\[|\]$/g, '')) !== 0
}
