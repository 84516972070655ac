/**
 * A process that the store doesn't answer gets the configuration from the owner.
 */

import test from 'ava'
import { okAsync } from 'neverthrow'
import { ManualClock } from '../common/Clock.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { advance } from '../../test/support/advance.js'
import { ConfigRelay } from './ConfigRelay.js'

import type { IPeerHub } from '../peer/Types.js'
import type { ConfigFeed } from './ConfigFeed.js'

function setUp (isCurrent: boolean, hasLink = true) {
  const clock = new ManualClock()
  const applied: string[] = []
  let asked = 0
  const link = {
    call: () => {
      asked += 1
      return okAsync({ record: 'newer' })
    }
  }
  const hub = { link: () => hasLink ? link : undefined }
  const config = { isCurrent, version: 3, applyRecord: (record: string, peer: string) => { applied.push(`${record} from ${peer}`) } }
  const relay = new ConfigRelay(hub as unknown as IPeerHub, config as unknown as ConfigFeed, () => 'owner', clock, new SilentLogger())
  return { clock, applied, relay, asked: () => asked }
}

test('the newer configuration of the owner is in force within a second', async (t) => {
  const { clock, applied } = setUp(false)
  await advance(clock, 1000, 50)
  t.is(applied[0], 'newer from owner')
})

test('a process that the store answers asks nobody', async (t) => {
  const { clock, asked } = setUp(true)
  await advance(clock, 5000, 50)
  t.is(asked(), 0)
})

test('without a link to the owner nothing changes', async (t) => {
  const { clock, applied } = setUp(false, false)
  await advance(clock, 2000, 50)
  t.deepEqual(applied, [])
})

test('a process that is stopping asks nobody', async (t) => {
  const { clock, relay, asked } = setUp(false)
  relay.dispose()
  await advance(clock, 2000, 50)
  t.is(asked(), 0)
})
