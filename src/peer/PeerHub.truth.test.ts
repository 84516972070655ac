/**
 * Tests the result of each call against the calls that the handler has run, while connections break at random.
 */

import test from 'ava'

import { disposeAll, identity, startHub } from '../../test/support/PeerHubs.js'
import { TcpForwarder } from '../../test/support/TcpForwarder.js'
import { until } from '../../test/support/Until.js'
import { AmbiguousError } from '../common/Errors.js'
import { SeededRandom } from '../common/Random.js'
import type { PeerHub } from './PeerHub.js'

const ROUNDS = 60
const CALLS_PER_ROUND = 10
const SEED = 11

interface ICallResult {
  readonly id: string
  readonly kind: 'done' | 'notRun' | 'unknown'
}

async function callOther (hub: PeerHub, other: string, id: string): Promise<ICallResult> {
  const result = await hub.link(other)?.call('cancel', { attemptId: id }, 60_000)
  if (result === undefined) return { id, kind: 'notRun' }
  return result.match(
    () => ({ id, kind: 'done' }),
    (error) => ({ id, kind: error instanceof AmbiguousError ? 'unknown' : 'notRun' })
  )
}

async function pause (random: SeededRandom): Promise<void> {
  const turns = Math.floor(random.next() * 5)
  for (let turn = 0; turn < turns; turn++) await new Promise((resolve) => { setImmediate(resolve) })
}

test.after.always(disposeAll)

test('while connections break, no call reported as not run has run, and each call runs at most once', async (t) => {
  // Two processes call each other while the connections between them are dropped and cut, and both dial again. If a call
  // that ran were reported as not run, its request would be sent again and run twice.
  const random = new SeededRandom(SEED)
  const runs = new Map<string, number>()
  const fast = { heartbeatMs: 20, silenceLimitMs: 150, minBackoffMs: 1, maxBackoffMs: 10 }
  const hubs = await Promise.all(['a', 'b'].map((id) => startHub(identity(id), fast)))
  const forwarders = hubs.map(({ url }) => new TcpForwarder(Number(new URL(url).port)))
  const [a, b] = hubs.map(({ hub }) => hub) as [PeerHub, PeerHub]
  for (const hub of [a, b]) {
    hub.handle('cancel', async ({ attemptId }) => {
      runs.set(attemptId, (runs.get(attemptId) ?? 0) + 1)
      await pause(random)
      return { cancelled: true }
    })
  }
  const ports = await Promise.all(forwarders.map((forwarder) => forwarder.listen()))
  a.dial(`ws://127.0.0.1:${ports[1]}`, 'b')
  b.dial(`ws://127.0.0.1:${ports[0]}`, 'a')
  const results: ICallResult[] = []
  for (let round = 0; round < ROUNDS; round++) {
    await until(() => a.link('b') !== undefined && b.link('a') !== undefined)
    const calls: Array<Promise<ICallResult>> = []
    for (let index = 0; index < CALLS_PER_ROUND; index++) {
      calls.push(callOther(a, 'b', `a${round}.${index}`), callOther(b, 'a', `b${round}.${index}`))
      await pause(random)
      if (random.next() < 0.1) forwarders[index % 2]?.dropAll()
      if (random.next() < 0.05) forwarders[index % 2]?.cut('toTarget')
    }
    results.push(...await Promise.all(calls))
    for (const forwarder of forwarders) forwarder.heal()
  }
  t.deepEqual(results.filter(({ id, kind }) => kind === 'notRun' && runs.has(id)), [])
  t.deepEqual(results.filter(({ id, kind }) => kind === 'done' && !runs.has(id)), [])
  t.deepEqual([...runs].filter(([, count]) => count > 1), [])
  const kinds = new Set(results.map((result) => result.kind))
  t.deepEqual([...kinds].sort(), ['done', 'notRun', 'unknown'], 'all three results occurred')
  a.dispose()
  b.dispose()
  await Promise.all(forwarders.map((forwarder) => forwarder.close()))
})
