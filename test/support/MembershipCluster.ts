/**
 * Simulates the membership of many processes in virtual time, without sockets. Links open and close as the processes select peers,
 * die, pause or are cut off. The property tests and the benchmarks of membership use it.
 */

import { ManualClock } from '../../src/common/Clock.js'
import { Membership } from '../../src/common/membership/Membership.js'
import type { SelfDescription } from '../../src/common/membership/Membership.js'
import type { IMembershipOptions } from '../../src/common/membership/Options.js'
import { MEMBERSHIP_DEFAULTS } from '../../src/common/membership/Options.js'
import { PEER_SELECTION_DEFAULTS, PeerSelection } from '../../src/common/membership/PeerSelection.js'
import type { IMember, IMembersCast, MemberState } from '../../src/common/protocol/Types.js'
import { SeededRandom } from '../../src/common/Random.js'

/** A link is lost after this many rounds of silence. */
const SILENCE_ROUNDS = 4
/** Each process probes one member every this many rounds. */
const PROBE_ROUNDS = 20
/** The most messages of one exchange within a round; an exchange consists of news, request, answer and correction. */
const MAX_MESSAGES = 8

export interface INode {
  readonly self: SelfDescription
  readonly membership: Membership
  readonly selection: PeerSelection
  state: 'running' | 'paused' | 'killed'
  /** The peers that the process wants links to, by id; absent after a change of its members, until they are selected again. */
  selected: ReadonlyMap<string, IMember> | undefined
}

interface ILinkState {
  readonly a: INode
  readonly b: INode
  /** Rounds since the link last worked in both directions. */
  silentRounds: number
  /** Rounds for which a probe still keeps the link open. */
  probeRounds: number
}

export type CastObserver = (from: INode, to: INode, cast: IMembersCast) => void

export class MembershipCluster {
  public readonly clock = new ManualClock()
  public readonly nodes = new Map<string, INode>()
  public round = 0
  private readonly _links = new Map<string, ILinkState>()
  /** Directed paths on which every message is lost, as `from>to`. */
  private readonly _cuts = new Set<string>()
  private readonly _random: SeededRandom

  public constructor (
    seed: number, private readonly _options: Partial<IMembershipOptions> = {}, private readonly _observeCast: CastObserver = () => {}
  ) {
    this._random = new SeededRandom(seed)
  }

  /** Starts a process that knows the given ones from the store. An id that is already in use means a restart of that process. */
  public start (processId: string, region: string, known: Iterable<INode> = [], role: IMember['role'] = 'scheduler'): INode {
    const incarnation = this.clock.wallMs()
    const self: SelfDescription = {
      processId, incarnation, region, failureDomain: `${region}-1`, role, peerUrl: `ws://10.0.0.1:7000/${processId}`, operatorUrl: 'http://10.0.0.1:7001'
    }
    const membership = new Membership(self, this._options, this.clock, new SeededRandom(this._random.next() * 2 ** 31))
    const node: INode = { self, membership, selection: new PeerSelection(self, PEER_SELECTION_DEFAULTS), state: 'running', selected: undefined }
    membership.onMember(() => { node.selected = undefined })
    const before = this.nodes.get(processId)
    if (before !== undefined) before.state = 'killed'
    this.nodes.set(processId, node)
    for (const other of known) membership.onStorePresent({ ...other.self, state: 'alive' })
    return node
  }

  public node (processId: string): INode {
    const node = this.nodes.get(processId)
    if (node === undefined) throw new Error(`no node ${processId}`)
    return node
  }

  public running (): readonly INode[] {
    return [...this.nodes.values()].filter((node) => node.state === 'running')
  }

  public cut (from: string, to: string): void {
    this._cuts.add(`${from}>${to}`)
  }

  public healAll (): void {
    this._cuts.clear()
  }

  /** Advances by one round, in which every running process gossips. */
  public step (): void {
    this.round += 1
    this.clock.advance(this._options.gossipMs ?? MEMBERSHIP_DEFAULTS.gossipMs)
    this._dropLinks()
    this._openLinks()
    for (const node of this.running()) {
      for (const { peerId, cast } of node.membership.tick()) this._deliver(node, peerId, cast)
    }
  }

  /** Advances round by round until the condition holds; returns the number of rounds, or -1 if `maxRounds` were not enough. */
  public stepUntil (condition: () => boolean, maxRounds: number): number {
    for (let rounds = 0; rounds <= maxRounds; rounds++) {
      if (condition()) return rounds
      this.step()
    }
    return -1
  }

  /** Whether all running processes have the same view, and the view consists of exactly the running processes. */
  public isConverged (): boolean {
    const running = this.running()
    const hashes = new Set(running.map((node) => node.membership.viewHash))
    if (hashes.size > 1) return false
    return running.every((node) => running.every((other) => isTrusted(node.membership.statementOf(other.self.processId)?.state)) &&
      node.membership.members().filter((member) => member.state !== 'dead').length === running.length)
  }

  public linkCount (): number {
    return this._links.size
  }

  private _dropLinks (): void {
    for (const [key, link] of this._links) {
      link.silentRounds = this._canCommunicate(link.a, link.b) ? 0 : link.silentRounds + 1
      link.probeRounds -= 1
      const isGone = this._isReplaced(link.a) || this._isReplaced(link.b) || link.silentRounds >= SILENCE_ROUNDS
      const isUnwanted = link.probeRounds <= 0 && link.silentRounds === 0 && !this._isSelected(link.a, link.b)
      if (!isGone && !isUnwanted) continue
      this._links.delete(key)
      this._notify(link.a, (node) => isGone ? node.membership.onLinkLost(link.b.self) : node.membership.onLinkReleased(link.b.self))
      this._notify(link.b, (node) => isGone ? node.membership.onLinkLost(link.a.self) : node.membership.onLinkReleased(link.a.self))
    }
  }

  private _isReplaced (node: INode): boolean {
    return this.nodes.get(node.self.processId) !== node
  }

  /** Informs a process about a link. A paused process would learn of it when it resumes; here it learns of it at once. */
  private _notify (node: INode, update: (node: INode) => void): void {
    if (node.state !== 'killed') update(node)
  }

  private _canCommunicate (a: INode, b: INode): boolean {
    const ids = [a.self.processId, b.self.processId]
    return a.state === 'running' && b.state === 'running' && !this._cuts.has(ids.join('>')) && !this._cuts.has(ids.reverse().join('>'))
  }

  private _isSelected (a: INode, b: INode): boolean {
    return selectedPeersOf(a).has(b.self.processId) || selectedPeersOf(b).has(a.self.processId)
  }

  private _openLinks (): void {
    for (const node of this.running()) {
      for (const member of selectedPeersOf(node).values()) this._openLink(node, member, 0)
      if ((this.round + node.self.processId.length) % PROBE_ROUNDS === 0) this._probe(node)
    }
  }

  private _probe (node: INode): void {
    const candidates = node.membership.members().filter((member) => !this._links.has(linkKey(node.self.processId, member.processId)))
    const member = candidates[Math.floor(this._random.next() * candidates.length)]
    if (member === undefined || member.processId === node.self.processId) return
    if (!this._openLink(node, member, SILENCE_ROUNDS) && member.state !== 'dead') node.membership.onLinkLost(member)
  }

  private _openLink (node: INode, member: IMember, probeRounds: number): boolean {
    const other = this.nodes.get(member.processId)
    const key = linkKey(node.self.processId, member.processId)
    if (this._links.has(key)) return true
    if (other === undefined || other === node || !this._canCommunicate(node, other)) return false
    this._links.set(key, { a: node, b: other, silentRounds: 0, probeRounds })
    this._sendOnLinkUp(node, other)
    this._sendOnLinkUp(other, node)
    return true
  }

  private _sendOnLinkUp (from: INode, to: INode): void {
    const cast = from.membership.onLinkUp(to.self)
    if (cast !== undefined) this._deliver(from, to.self.processId, cast)
  }

  private _deliver (from: INode, toId: string, cast: IMembersCast): void {
    let [sender, receiver] = [from, this.nodes.get(toId)]
    let next: IMembersCast | undefined = cast
    for (let messageCount = 0; messageCount < MAX_MESSAGES && next !== undefined && receiver !== undefined; messageCount++) {
      this._observeCast(sender, receiver, next)
      if (!this._canCommunicate(sender, receiver)) return
      next = receiver.membership.receive(sender.self.processId, next)
      ;[sender, receiver] = [receiver, sender]
    }
  }
}

function isTrusted (state: MemberState | undefined): boolean {
  return state === 'alive' || state === 'leaving'
}

function selectedPeersOf (node: INode): ReadonlyMap<string, IMember> {
  node.selected ??= new Map(node.selection.select(node.membership.members()).map((member) => [member.processId, member]))
  return node.selected
}

function linkKey (a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`
}

/** Starts `count` processes in `regions` regions, all of which know one another as if from the store. */
export function startCluster (count: number, regions: number, seed: number, observeCast?: CastObserver): MembershipCluster {
  const cluster = new MembershipCluster(seed, {}, observeCast)
  const names = Array.from({ length: count }, (_, index) => ({ id: `p${index}`, region: `r${index % regions}` }))
  for (const { id, region } of names) cluster.start(id, region)
  for (const node of cluster.nodes.values()) {
    for (const other of cluster.nodes.values()) node.membership.onStorePresent({ ...other.self, state: 'alive' })
  }
  return cluster
}
