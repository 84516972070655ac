/**
 * Decisions of the owner about callers' keys, with configurations of different ages.
 */

import test from 'ava'
import { CallerAuthorizer } from './CallerAuthorizer.js'

import type { ConfigFeed } from './ConfigFeed.js'

const ACCESS = { queue: 'lookups', keyDigest: 'key', configVersion: 1 }

interface IScript {
  readonly keys?: readonly string[]
  readonly version?: number
  readonly isCurrent?: boolean
  /** What a read of the store brings; undefined if the store doesn't answer. */
  readonly stored?: { readonly version: number, readonly keys: readonly string[] }
  readonly isStoreUnavailable?: boolean
}

function setUp ({ keys = ['key'], version = 1, isCurrent = true, stored, isStoreUnavailable = false }: IScript) {
  let present = { version, keys }
  const config = {
    get version () { return present.version },
    isCurrent,
    queue: (name: string) => name === 'none' ? undefined : { name, isPublic: name === 'open' },
    workspaceOf: (digest: string) => present.keys.includes(digest) ? { name: 'blue' } : undefined,
    refresh: async () => {
      present = stored ?? present
      return stored !== undefined
    },
    catchUp: async (wanted: number) => {
      await config.refresh()
      return present.version >= wanted
    }
  }
  return new CallerAuthorizer(config as unknown as ConfigFeed, () => isStoreUnavailable)
}

test('a key belongs to its workspace, and a public queue needs none', async (t) => {
  const authorizer = setUp({})
  t.like(await authorizer.authorize(ACCESS), { kind: 'allowed', workspace: 'blue' })
  t.like(await authorizer.authorize({ ...ACCESS, keyDigest: 'other' }), { kind: 'unauthorized' })
  t.like(await authorizer.authorize({ ...ACCESS, queue: 'open', keyDigest: '' }), { kind: 'allowed', workspace: '' })
  t.like(await authorizer.authorize({ ...ACCESS, queue: 'none' }), { kind: 'noQueue' })
})

test('a removed key that an old gateway still accepts is refused', async (t) => {
  t.is((await setUp({ version: 2, keys: [] }).authorize(ACCESS)).kind, 'unauthorized')
})

test('a removed key is refused by an owner that catches up with the gateway', async (t) => {
  const authorizer = setUp({ stored: { version: 2, keys: [] } })
  t.is((await authorizer.authorize({ ...ACCESS, configVersion: 2 })).kind, 'unauthorized')
})

test('an owner that can\'t catch up with the gateway decides nothing', async (t) => {
  t.is((await setUp({}).authorize({ ...ACCESS, configVersion: 2 })).kind, 'unavailable')
  const authorizer = setUp({ stored: { version: 2, keys: ['key'] }, isStoreUnavailable: true })
  t.is((await authorizer.authorize({ ...ACCESS, configVersion: 2 })).kind, 'unavailable')
})

test('a new key is not refused by an owner with an old configuration', async (t) => {
  const stored = { version: 2, keys: ['key'] }
  t.is((await setUp({ keys: [], isCurrent: false, stored }).authorize(ACCESS)).kind, 'allowed')
  t.is((await setUp({ keys: [], isCurrent: false }).authorize(ACCESS)).kind, 'unavailable')
})

test('callers with known keys are not locked out while the whole store is away', async (t) => {
  t.is((await setUp({ isCurrent: false, isStoreUnavailable: true }).authorize(ACCESS)).kind, 'allowed')
})
