/**
 * Tests of membership over real links on 127.0.0.1.
 */

import test from 'ava'

import { disposeAll, disposeLater, identity, startHub } from '../../test/support/PeerHubs.js'
import { until } from '../../test/support/Until.js'
import { SystemClock } from '../common/Clock.js'
import { SeededRandom } from '../common/Random.js'
import type { MemberState } from '../common/protocol/Types.js'
import { MembershipAgent } from './MembershipAgent.js'
import type { ISeedPeer } from './MembershipAgent.js'
import type { PeerHub } from './PeerHub.js'

const FAST = { heartbeatMs: 50, silenceLimitMs: 500, maxBackoffMs: 100 }

interface IRunningAgent {
  readonly hub: PeerHub
  readonly agent: MembershipAgent
  readonly url: string
}

async function startAgent (processId: string, seeds: readonly ISeedPeer[], incarnation = 1): Promise<IRunningAgent> {
  const { hub, url } = await startHub(identity(processId, incarnation), FAST)
  const clock = new SystemClock()
  const self = { ...hub.self, role: 'scheduler' as const, peerUrl: url, operatorUrl: 'http://127.0.0.1:1' }
  const membership = { gossipMs: 50, suspectMs: 400, suspectHoldMs: 50, syncMs: 100 }
  const options = { membership, seeds, probeMs: 300, probeTimeoutMs: 200 }
  const agent = disposeLater(new MembershipAgent(hub, self, options, { clock, timers: clock, random: new SeededRandom(3) }))
  agent.start()
  return { hub, agent, url }
}

function stop ({ hub, agent }: IRunningAgent): void {
  agent.dispose()
  hub.dispose()
}

function seesAll (observers: readonly IRunningAgent[], processId: string, state: MemberState): boolean {
  return observers.every(({ agent }) => agent.member(processId)?.state === state)
}

test.after.always(disposeAll)

test('processes that know one peer find all members, and learn of a death and of a restart at another address', async (t) => {
  // The store is unavailable. Processes start with one address from their settings. Later one of them is killed and started
  // again. All others must learn of this from each other alone.
  const a = await startAgent('a', [])
  const seeds = [{ processId: 'a', peerUrl: a.url }]
  const b = await startAgent('b', seeds)
  const c = await startAgent('c', seeds)
  await until(() => ['a', 'b', 'c'].every((id) => seesAll([a, b, c], id, 'alive')))
  await until(() => b.agent.routableSchedulers().length === 3 - 1 && c.agent.routableSchedulers().length === 3 - 1)
  stop(b)
  await until(() => seesAll([a, c], 'b', 'dead'))
  const restarted = await startAgent('b', seeds, 2)
  await until(() => seesAll([a, c, restarted], 'b', 'alive') && seesAll([restarted], 'c', 'alive'))
  t.is(a.agent.member('b')?.peerUrl, restarted.url)
  for (const running of [a, c, restarted]) stop(running)
})

test('a process that is leaving receives no new work, and is dead after it has stopped', async (t) => {
  const a = await startAgent('a', [])
  const b = await startAgent('b', [{ processId: 'a', peerUrl: a.url }])
  await until(() => a.agent.routableSchedulers().length === 1 && b.agent.routableSchedulers().length === 1)
  b.agent.leave()
  await until(() => a.agent.member('b')?.state === 'leaving')
  t.deepEqual(a.agent.routableSchedulers(), [])
  await b.hub.close(1_000)
  b.agent.dispose()
  await until(() => a.agent.member('b')?.state === 'dead')
  stop(a)
})
