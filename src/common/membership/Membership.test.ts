/**
 * Tests of membership with a few processes in virtual time: the view of each process after failures.
 */

import test from 'ava'

import fc from 'fast-check'

import { MembershipCluster, startCluster } from '../../../test/support/MembershipCluster.js'
import type { MemberState } from '../protocol/Types.js'

const SEED = 20261202
const ROUNDS = 400

function stateAt (cluster: MembershipCluster, observer: string, processId: string): MemberState | undefined {
  return cluster.node(observer).membership.get(processId)?.state
}

function runSteps (cluster: MembershipCluster, count: number): void {
  for (let step = 0; step < count; step++) cluster.step()
}

function settledCluster (count: number, regions = 1): MembershipCluster {
  const cluster = startCluster(count, regions, SEED)
  runSteps(cluster, 20)
  return cluster
}

test('a member that dies becomes dead in all views, and the views converge without it', (t) => {
  // A host is lost. Processes that are linked to it see the link fail. The others must learn of this, or they would
  // continue to send work to the lost process.
  const cluster = settledCluster(9)
  cluster.node('p3').state = 'killed'
  t.not(cluster.stepUntil(() => cluster.running().every((node) => node.membership.get('p3')?.state === 'dead'), ROUNDS), -1)
  t.true(cluster.isConverged())
})

test('a connection cut in one direction does not make a member dead that others reach', (t) => {
  // A switch drops what p1 sends to p2. The two lose their link and each suspects the other. But both are healthy, and
  // the other members must continue to use them.
  const cluster = settledCluster(9)
  cluster.cut('p1', 'p2')
  const seen = new Set<MemberState>()
  for (const node of cluster.running()) {
    if (node.self.processId === 'p1') continue
    node.membership.onMember((member) => { if (member.processId === 'p2') seen.add(member.state) })
  }
  runSteps(cluster, 60)
  t.deepEqual([...seen], [], 'members with a working link to p2 have seen no change')
  t.not(stateAt(cluster, 'p1', 'p2'), 'dead')
})

test('a process that was paused is alive again as soon as it is linked', (t) => {
  // A process is paused for a minute and resumed. By then all other members consider it dead. If they did not change
  // this, its capacity would be lost until somebody restarts it.
  const cluster = settledCluster(9)
  cluster.node('p3').state = 'paused'
  runSteps(cluster, 60)
  t.is(stateAt(cluster, 'p1', 'p3'), 'dead')
  cluster.node('p3').state = 'running'
  cluster.step()
  t.not(stateAt(cluster, 'p3', 'p1'), 'dead', 'its own pause must not count as silence of the others')
  t.not(cluster.stepUntil(() => cluster.isConverged(), ROUNDS), -1)
  t.is(stateAt(cluster, 'p1', 'p3'), 'alive')
})

test('a process that resumes after a pause gives members that it suspects the full time to refute this', (t) => {
  // p1 stalls for some seconds. Just after p3 has suspected p1, p3 itself is paused for a minute, and the connection
  // between the two breaks. When p3 resumes, p1 has been silent for a long time by the wall clock, although all other
  // members have received messages from p1. If p3 declared p1 dead at once, a healthy process would get no work.
  const cluster = settledCluster(9)
  cluster.node('p1').state = 'paused'
  cluster.stepUntil(() => stateAt(cluster, 'p3', 'p1') === 'suspect', ROUNDS)
  runSteps(cluster, 4)
  cluster.node('p3').state = 'paused'
  cluster.node('p1').state = 'running'
  cluster.cut('p3', 'p1')
  runSteps(cluster, 60)
  const seen = new Set<MemberState>()
  cluster.node('p3').membership.onMember((member) => { if (member.processId === 'p1') seen.add(member.state) })
  cluster.node('p3').state = 'running'
  // After a pause, timers fire before the sockets are read.
  cluster.node('p3').membership.tick()
  runSteps(cluster, 60)
  t.false(seen.has('dead'))
})

test('a restarted process replaces its earlier incarnation, and news of the earlier death is ignored', (t) => {
  // A process crashes and is started again with the same process id on another port. News of the crash still spreads,
  // and must not be applied to the new process.
  const cluster = settledCluster(9)
  const before = cluster.node('p3').self.incarnation
  cluster.start('p3', 'r0', [cluster.node('p0').self.processId].map((id) => cluster.node(id)))
  t.not(cluster.stepUntil(() => cluster.isConverged(), ROUNDS), -1)
  t.true((cluster.node('p1').membership.get('p3')?.incarnation ?? 0) > before)
  t.is(stateAt(cluster, 'p1', 'p3'), 'alive')
})

test('a process that starts during a store outage and knows one member learns of all members', (t) => {
  // The store is unavailable when a host is replaced. The new process has one address from its settings. It must find all other
  // members, most of which will never dial it, and they must learn of it.
  const cluster = settledCluster(60, 3)
  cluster.start('new', 'r0', [cluster.node('p4')])
  t.not(cluster.stepUntil(() => cluster.isConverged(), 60), -1)
})

test('after a store outage in which all leases have expired, no member is suspected', (t) => {
  // The store is unavailable for minutes. When it is reachable again, all records are missing, although the members are alive
  // and only could not renew their leases. If this counted at once, all members would be suspected.
  let suspicions = 0
  const cluster = startCluster(40, 1, SEED, (_from, _to, cast) => {
    suspicions += cast.news.filter((news) => news.state === 'suspect').length
  })
  for (const node of cluster.running()) node.membership.onStoreReachable(true)
  runSteps(cluster, 80)
  for (const node of cluster.running()) node.membership.onStoreReachable(false)
  runSteps(cluster, 20)
  for (const node of cluster.running()) {
    node.membership.onStoreReachable(true)
    node.membership.onStoreSnapshot([])
  }
  runSteps(cluster, 20)
  for (const node of cluster.running()) node.membership.onStoreSnapshot(cluster.running().map((other) => ({ ...other.self, state: 'alive' })))
  runSteps(cluster, 80)
  t.is(suspicions, 0)
  t.true(cluster.isConverged())
})

test('a record that is missing in the store makes a member suspect, and a member that is alive refutes this', (t) => {
  // A lease expires although its holder is alive, because the renewals were slow. The member must remain in use.
  const cluster = settledCluster(9)
  for (const node of cluster.running()) node.membership.onStoreReachable(true)
  runSteps(cluster, 80)
  for (const node of cluster.running()) node.membership.onStoreAbsent('p3')
  runSteps(cluster, 60)
  t.true(cluster.isConverged())
})

test('a link that flaps is reported less and less often', (t) => {
  // A bad cable interrupts the link between two processes every few seconds. Each report is sent to every member, so one
  // cable would cause traffic in the whole cell.
  const reports: number[] = []
  const cluster = startCluster(2, 1, SEED, (_from, _to, cast) => {
    if (cast.news.some((news) => news.state === 'suspect')) reports.push(cluster.round)
  })
  const [a, b] = cluster.running()
  if (a === undefined || b === undefined) return t.fail()
  runSteps(cluster, 4)
  for (let flap = 0; flap < 20; flap++) {
    a.membership.onLinkLost(b.self)
    runSteps(cluster, 6)
    a.membership.onLinkUp(b.self)
    runSteps(cluster, 1)
  }
  t.true(reports.filter((round) => round > 40).length <= reports.filter((round) => round <= 40).length)
  t.is(stateAt(cluster, a.self.processId, b.self.processId), 'alive')
})

test('old gossip does not make a dead member alive again, even after the member was forgotten', (t) => {
  // p2 was partitioned for a long time and still considers p3 alive. Meanwhile p3 has died and has been forgotten. When
  // p2 returns, p3 must not return to the member lists.
  const cluster = new MembershipCluster(SEED, { forgetMs: 5_000 })
  const nodes = ['p0', 'p1', 'p2', 'p3'].map((id) => cluster.start(id, 'r0'))
  for (const node of nodes) for (const other of nodes) node.membership.onStorePresent({ ...other.self, state: 'alive' })
  runSteps(cluster, 10)
  cluster.node('p2').state = 'paused'
  cluster.node('p3').state = 'killed'
  t.not(cluster.stepUntil(() => cluster.node('p0').membership.get('p3') === undefined, ROUNDS), -1)
  const seen = new Set<MemberState | undefined>()
  cluster.node('p0').membership.onMember((member) => { if (member.processId === 'p3') seen.add(member.state) })
  cluster.node('p2').state = 'running'
  t.not(cluster.stepUntil(() => cluster.isConverged(), ROUNDS), -1)
  t.false(seen.has('alive'))
})

test('a leaving member becomes leaving in all views, and dead after it has stopped', (t) => {
  const cluster = settledCluster(9)
  cluster.node('p3').membership.leave()
  t.not(cluster.stepUntil(() => cluster.running().every((node) => node.membership.get('p3')?.state === 'leaving'), 20), -1)
  cluster.node('p3').state = 'killed'
  t.not(cluster.stepUntil(() => cluster.running().every((node) => node.membership.get('p3')?.state === 'dead'), ROUNDS), -1)
})

const PROCESSES = ['p0', 'p1', 'p2', 'p3', 'p4', 'p5'] as const
const anyProcess = fc.constantFrom(...PROCESSES)
const anyFault = fc.oneof(
  fc.record({ kind: fc.constantFrom('kill', 'pause', 'wake', 'restart', 'storeAbsent'), at: anyProcess }),
  fc.record({ kind: fc.constant('cut'), at: anyProcess, to: anyProcess }),
  fc.record({ kind: fc.constant('heal') }),
  fc.record({ kind: fc.constant('steps'), count: fc.integer({ min: 1, max: 30 }) })
)

function injectFault (cluster: MembershipCluster, item: { kind: string, at?: string, to?: string, count?: number }): void {
  const { kind, at = 'p0', to = 'p0', count = 1 } = item
  const node = cluster.node(at)
  if (kind === 'kill') node.state = 'killed'
  if (kind === 'pause' && node.state === 'running') node.state = 'paused'
  if (kind === 'wake' && node.state === 'paused') node.state = 'running'
  if (kind === 'restart') cluster.start(at, node.self.region, cluster.nodes.values())
  if (kind === 'cut') cluster.cut(at, to)
  if (kind === 'heal') cluster.healAll()
  if (kind === 'storeAbsent') for (const other of cluster.running()) other.membership.onStoreAbsent(at)
  cluster.clock.advance(1)
  runSteps(cluster, kind === 'steps' ? count : 1)
}

test('after any faults have ended, all views become equal and contain exactly the running processes', (t) => {
  // Kills, pauses, restarts, cuts in one direction and expired records occur in any order. If views remained different,
  // members would route work to dead processes or send none to healthy ones.
  fc.assert(fc.property(fc.array(anyFault, { maxLength: 30 }), fc.integer(), (faults, seed) => {
    const cluster = startCluster(PROCESSES.length, 2, seed)
    runSteps(cluster, 4)
    for (const item of faults) injectFault(cluster, item)
    cluster.healAll()
    for (const node of cluster.nodes.values()) if (node.state === 'paused') node.state = 'running'
    t.not(cluster.stepUntil(() => cluster.isConverged(), ROUNDS), -1, 'the views remained different')
    runSteps(cluster, ROUNDS)
    t.true(cluster.isConverged(), 'the views became different again')
  }), { seed: SEED, numRuns: 150 })
})
