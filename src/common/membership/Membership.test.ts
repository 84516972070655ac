/**
 * Membership of a few processes in virtual time: what each sees after failures.
 */

import test from 'ava'

import fc from 'fast-check'

import { MembershipCluster, startedCluster } from '../../../test/support/MembershipCluster.js'
import type { MemberState } from '../protocol/Types.js'

const SEED = 20261202
const ROUNDS = 400

function stateAt (cluster: MembershipCluster, observer: string, processId: string): MemberState | undefined {
  return cluster.node(observer).membership.get(processId)?.state
}

function steps (cluster: MembershipCluster, count: number): void {
  for (let step = 0; step < count; step++) cluster.step()
}

function settled (count: number, regions = 1): MembershipCluster {
  const cluster = startedCluster(count, regions, SEED)
  steps(cluster, 20)
  return cluster
}

test('a member that dies is dead for everybody, and is gone from the lists after a while', (t) => {
  // A host is lost. Whoever is linked to its process sees the link fail; the others must hear of it, or they go on
  // sending it work that nobody answers.
  const cluster = settled(9)
  cluster.node('p3').state = 'killed'
  t.not(cluster.stepUntil(() => cluster.running().every((node) => node.membership.get('p3')?.state === 'dead'), ROUNDS), -1)
  t.true(cluster.isConverged())
})

test('a path cut in one direction makes no member dead that others reach', (t) => {
  // A switch swallows what p1 sends to p2. The two lose their link and each suspects the other, but both are well,
  // and the rest of the cell must go on using them.
  const cluster = settled(9)
  cluster.cut('p1', 'p2')
  const seen = new Set<MemberState>()
  for (const node of cluster.running()) {
    if (node.self.processId === 'p1') continue
    node.membership.onMember((member) => { if (member.processId === 'p2') seen.add(member.state) })
  }
  steps(cluster, 60)
  t.deepEqual([...seen], [], 'those with a good link to p2 have seen no change')
  t.not(stateAt(cluster, 'p1', 'p2'), 'dead')
})

test('a process that was paused is believed again as soon as it is linked', (t) => {
  // A process is stopped for a minute and woken. By then everybody holds it for dead; if they kept to that, its
  // capacity would be lost until somebody restarts it.
  const cluster = settled(9)
  cluster.node('p3').state = 'paused'
  steps(cluster, 60)
  t.is(stateAt(cluster, 'p1', 'p3'), 'dead')
  cluster.node('p3').state = 'running'
  cluster.step()
  t.not(stateAt(cluster, 'p3', 'p1'), 'dead', 'its own pause counts as silence of the others')
  t.not(cluster.stepUntil(() => cluster.isConverged(), ROUNDS), -1)
  t.is(stateAt(cluster, 'p1', 'p3'), 'alive')
})

test('a process that wakes gives those it had suspected their time to answer', (t) => {
  // p1 stalls for some seconds, and just as p3 suspects it, p3 is itself stopped for a minute; then the path between
  // the two breaks. By the clock on the wall p1 has been silent for long when p3 wakes, although all others have
  // heard from it. If p3 declared it dead at once, a healthy process would be without work.
  const cluster = settled(9)
  cluster.node('p1').state = 'paused'
  cluster.stepUntil(() => stateAt(cluster, 'p3', 'p1') === 'suspect', ROUNDS)
  steps(cluster, 4)
  cluster.node('p3').state = 'paused'
  cluster.node('p1').state = 'running'
  cluster.cut('p3', 'p1')
  steps(cluster, 60)
  const seen = new Set<MemberState>()
  cluster.node('p3').membership.onMember((member) => { if (member.processId === 'p1') seen.add(member.state) })
  cluster.node('p3').state = 'running'
  // Timers fire before the sockets are read.
  cluster.node('p3').membership.tick()
  steps(cluster, 60)
  t.false(seen.has('dead'))
})

test('a restarted process replaces its former self, whose death is of no more interest', (t) => {
  // A process crashes and is started again under its name on another port. News of the crash still goes round and
  // must not be taken for news of the new process.
  const cluster = settled(9)
  const before = cluster.node('p3').self.incarnation
  cluster.start('p3', 'r0', [cluster.node('p0').self.processId].map((id) => cluster.node(id)))
  t.not(cluster.stepUntil(() => cluster.isConverged(), ROUNDS), -1)
  t.true((cluster.node('p1').membership.get('p3')?.incarnation ?? 0) > before)
  t.is(stateAt(cluster, 'p1', 'p3'), 'alive')
})

test('a process that starts in an outage of the store and knows one other gets to know all', (t) => {
  // The store is down when a host is replaced. The new process has one address from its settings. It must find all
  // others, most of which will never dial it, and they must hear of it.
  const cluster = settled(60, 3)
  cluster.start('new', 'r0', [cluster.node('p4')])
  t.not(cluster.stepUntil(() => cluster.isConverged(), 60), -1)
})

test('after an outage of the store, in which all leases have lapsed, nobody is suspected', (t) => {
  // The store is down for minutes. When it is back, all records are gone, although the members live and only could
  // not renew their leases. If that counted, the whole cell would suspect itself at once.
  let suspicions = 0
  const cluster = startedCluster(40, 1, SEED, (_from, _to, cast) => {
    suspicions += cast.news.filter((news) => news.state === 'suspect').length
  })
  for (const node of cluster.running()) node.membership.storeReachable(true)
  steps(cluster, 80)
  for (const node of cluster.running()) node.membership.storeReachable(false)
  steps(cluster, 20)
  for (const node of cluster.running()) {
    node.membership.storeReachable(true)
    node.membership.storeAll([])
  }
  steps(cluster, 20)
  for (const node of cluster.running()) node.membership.storeAll(cluster.running().map((other) => ({ ...other.self, state: 'alive' })))
  steps(cluster, 80)
  t.is(suspicions, 0)
  t.true(cluster.isConverged())
})

test('the store\'s word that a record has gone makes a member suspect, which it refutes if it lives', (t) => {
  // The store loses a lease although its holder lives, for its renewals were slow. The member must stay in use.
  const cluster = settled(9)
  for (const node of cluster.running()) node.membership.storeReachable(true)
  steps(cluster, 80)
  for (const node of cluster.running()) node.membership.storeAbsent('p3')
  steps(cluster, 60)
  t.true(cluster.isConverged())
})

test('a link that flaps is reported less and less often', (t) => {
  // A bad cable drops the link between two processes every few seconds. Each report goes to every member; the traffic
  // of the whole cell would follow the cable.
  const reports: number[] = []
  const cluster = startedCluster(2, 1, SEED, (_from, _to, cast) => {
    if (cast.news.some((news) => news.state === 'suspect')) reports.push(cluster.round)
  })
  const [a, b] = cluster.running()
  if (a === undefined || b === undefined) return t.fail()
  steps(cluster, 4)
  for (let flap = 0; flap < 20; flap++) {
    a.membership.linkLost(b.self)
    steps(cluster, 6)
    a.membership.linkUp(b.self)
    steps(cluster, 1)
  }
  t.true(reports.filter((round) => round > 40).length <= reports.filter((round) => round <= 40).length)
  t.is(stateAt(cluster, a.self.processId, b.self.processId), 'alive')
})

test('old gossip brings no dead member back, even after it was forgotten', (t) => {
  // A process was cut off for a day and still believes that p3 lives, which died meanwhile and has been forgotten.
  // When it returns, p3 must not come back into the lists with it.
  const cluster = new MembershipCluster(SEED, { forgetMs: 5_000 })
  const nodes = ['p0', 'p1', 'p2', 'p3'].map((id) => cluster.start(id, 'r0'))
  for (const node of nodes) for (const other of nodes) node.membership.storePresent({ ...other.self, state: 'alive' })
  steps(cluster, 10)
  cluster.node('p2').state = 'paused'
  cluster.node('p3').state = 'killed'
  t.not(cluster.stepUntil(() => cluster.node('p0').membership.get('p3') === undefined, ROUNDS), -1)
  const seen = new Set<MemberState | undefined>()
  cluster.node('p0').membership.onMember((member) => { if (member.processId === 'p3') seen.add(member.state) })
  cluster.node('p2').state = 'running'
  t.not(cluster.stepUntil(() => cluster.isConverged(), ROUNDS), -1)
  t.false(seen.has('alive'))
})

test('a leaving member is seen as leaving by all, and never as alive again', (t) => {
  const cluster = settled(9)
  cluster.node('p3').membership.leave()
  t.not(cluster.stepUntil(() => cluster.running().every((node) => node.membership.get('p3')?.state === 'leaving'), 20), -1)
  cluster.node('p3').state = 'killed'
  t.not(cluster.stepUntil(() => cluster.running().every((node) => node.membership.get('p3')?.state === 'dead'), ROUNDS), -1)
})

const PROCESSES = ['p0', 'p1', 'p2', 'p3', 'p4', 'p5'] as const
const process = fc.constantFrom(...PROCESSES)
const fault = fc.oneof(
  fc.record({ kind: fc.constantFrom('kill', 'pause', 'wake', 'restart', 'storeAbsent'), at: process }),
  fc.record({ kind: fc.constant('cut'), at: process, to: process }),
  fc.record({ kind: fc.constant('heal') }),
  fc.record({ kind: fc.constant('steps'), count: fc.integer({ min: 1, max: 30 }) })
)

function inject (cluster: MembershipCluster, item: { kind: string, at?: string, to?: string, count?: number }): void {
  const { kind, at = 'p0', to = 'p0', count = 1 } = item
  const node = cluster.node(at)
  if (kind === 'kill') node.state = 'killed'
  if (kind === 'pause' && node.state === 'running') node.state = 'paused'
  if (kind === 'wake' && node.state === 'paused') node.state = 'running'
  if (kind === 'restart') cluster.start(at, node.self.region, cluster.nodes.values())
  if (kind === 'cut') cluster.cut(at, to)
  if (kind === 'heal') cluster.healAll()
  if (kind === 'storeAbsent') for (const other of cluster.running()) other.membership.storeAbsent(at)
  cluster.clock.advance(1)
  steps(cluster, kind === 'steps' ? count : 1)
}

test('after any faults have stopped, all views become equal and hold just the processes that run', (t) => {
  // Kills, pauses, restarts, cuts in one direction and lapsed records come in any order. Whatever views they leave
  // behind, members that disagree for good would route to the dead or leave the living without work.
  fc.assert(fc.property(fc.array(fault, { maxLength: 30 }), fc.integer(), (faults, seed) => {
    const cluster = startedCluster(PROCESSES.length, 2, seed)
    steps(cluster, 4)
    for (const item of faults) inject(cluster, item)
    cluster.healAll()
    for (const node of cluster.nodes.values()) if (node.state === 'paused') node.state = 'running'
    t.not(cluster.stepUntil(() => cluster.isConverged(), ROUNDS), -1, 'the views stayed different')
    steps(cluster, ROUNDS)
    t.true(cluster.isConverged(), 'the views differed again')
  }), { seed: SEED, numRuns: 150 })
})
