/**
 * Many members in virtual time, without sockets: links come and go as processes choose, die, pause or are cut off.
 * For the property tests and the measurements of membership.
 */

import { ManualClock } from '../../src/common/Clock.js'
import { Membership } from '../../src/common/membership/Membership.js'
import type { SelfDescription } from '../../src/common/membership/Membership.js'
import type { IMembershipOptions } from '../../src/common/membership/Options.js'
import { MEMBERSHIP_DEFAULTS } from '../../src/common/membership/Options.js'
import { PEER_SELECTION_DEFAULTS, PeerSelection } from '../../src/common/membership/PeerSelection.js'
import type { IMember, IMembersCast, MemberState } from '../../src/common/protocol/Types.js'
import { SeededRandom } from '../../src/common/Random.js'

/** Rounds of silence until a link is lost, and between the probes of one process. */
const SILENCE_ROUNDS = 4
const PROBE_ROUNDS = 20
/** Legs of one exchange within a round: news, request, answer, correction. */
const MAX_LEGS = 8

export interface INode {
  readonly self: SelfDescription
  readonly membership: Membership
  readonly selection: PeerSelection
  state: 'running' | 'paused' | 'killed'
  /** Whom it chooses to link to; absent after a change of its members. */
  chosen: ReadonlyMap<string, IMember> | undefined
}

interface ILinkState {
  readonly a: INode
  readonly b: INode
  /** Rounds since it last worked in both directions. */
  silentRounds: number
  /** Rounds that a probe still keeps it. */
  probeRounds: number
}

export type Meter = (from: INode, to: INode, cast: IMembersCast) => void

export class MembershipCluster {
  public readonly clock = new ManualClock()
  public readonly nodes = new Map<string, INode>()
  public round = 0
  private readonly _links = new Map<string, ILinkState>()
  /** Directed paths that swallow everything, as `from>to`. */
  private readonly _cuts = new Set<string>()
  private readonly _random: SeededRandom

  public constructor (seed: number, private readonly _options: Partial<IMembershipOptions> = {}, private readonly _meter: Meter = () => {}) {
    this._random = new SeededRandom(seed)
  }

  /** Starts a process that knows of the given ones; with an id that was there before it is a restart. */
  public start (processId: string, region: string, known: Iterable<INode> = [], role: IMember['role'] = 'scheduler'): INode {
    const incarnation = this.clock.wallMs()
    const self: SelfDescription = {
      processId, incarnation, region, failureDomain: `${region}-1`, role, peerUrl: `ws://10.0.0.1:7000/${processId}`, operatorUrl: 'http://10.0.0.1:7001'
    }
    const membership = new Membership(self, this._options, this.clock, new SeededRandom(this._random.next() * 2 ** 31))
    const node: INode = { self, membership, selection: new PeerSelection(self, PEER_SELECTION_DEFAULTS), state: 'running', chosen: undefined }
    membership.onMember(() => { node.chosen = undefined })
    const before = this.nodes.get(processId)
    if (before !== undefined) before.state = 'killed'
    this.nodes.set(processId, node)
    for (const other of known) membership.storePresent({ ...other.self, state: 'alive' })
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

  /** One round of gossip of everybody. */
  public step (): void {
    this.round += 1
    this.clock.advance(this._options.gossipMs ?? MEMBERSHIP_DEFAULTS.gossipMs)
    this._dropLinks()
    this._openLinks()
    for (const node of this.running()) {
      for (const { peerId, cast } of node.membership.tick()) this._deliver(node, peerId, cast)
    }
  }

  /** Steps until the condition holds; gives the rounds taken, or -1 when `maxRounds` did not do. */
  public stepUntil (condition: () => boolean, maxRounds: number): number {
    for (let rounds = 0; rounds <= maxRounds; rounds++) {
      if (condition()) return rounds
      this.step()
    }
    return -1
  }

  /** Whether all running processes have the same view, and it holds just them. */
  public isConverged (): boolean {
    const running = this.running()
    const hashes = new Set(running.map((node) => node.membership.viewHash))
    if (hashes.size > 1) return false
    return running.every((node) => running.every((other) => isTrusted(node.membership.standing(other.self.processId)?.state)) &&
      node.membership.members().filter((member) => member.state !== 'dead').length === running.length)
  }

  public linkCount (): number {
    return this._links.size
  }

  private _dropLinks (): void {
    for (const [key, link] of this._links) {
      link.silentRounds = this._works(link.a, link.b) ? 0 : link.silentRounds + 1
      link.probeRounds -= 1
      const isGone = this._isReplaced(link.a) || this._isReplaced(link.b) || link.silentRounds >= SILENCE_ROUNDS
      const isUnwanted = link.probeRounds <= 0 && link.silentRounds === 0 && !this._isChosen(link.a, link.b)
      if (!isGone && !isUnwanted) continue
      this._links.delete(key)
      this._tell(link.a, (node) => isGone ? node.membership.linkLost(link.b.self) : node.membership.linkReleased(link.b.self))
      this._tell(link.b, (node) => isGone ? node.membership.linkLost(link.a.self) : node.membership.linkReleased(link.a.self))
    }
  }

  private _isReplaced (node: INode): boolean {
    return this.nodes.get(node.self.processId) !== node
  }

  /** A paused process learns of the loss when it wakes; it does so at once here, as its sockets are then closed. */
  private _tell (node: INode, tell: (node: INode) => void): void {
    if (node.state !== 'killed') tell(node)
  }

  private _works (a: INode, b: INode): boolean {
    const ids = [a.self.processId, b.self.processId]
    return a.state === 'running' && b.state === 'running' && !this._cuts.has(ids.join('>')) && !this._cuts.has(ids.reverse().join('>'))
  }

  private _isChosen (a: INode, b: INode): boolean {
    return chosenBy(a).has(b.self.processId) || chosenBy(b).has(a.self.processId)
  }

  private _openLinks (): void {
    for (const node of this.running()) {
      for (const member of chosenBy(node).values()) this._open(node, member, 0)
      if ((this.round + node.self.processId.length) % PROBE_ROUNDS === 0) this._probe(node)
    }
  }

  private _probe (node: INode): void {
    const candidates = node.membership.members().filter((member) => !this._links.has(linkKey(node.self.processId, member.processId)))
    const member = candidates[Math.floor(this._random.next() * candidates.length)]
    if (member === undefined || member.processId === node.self.processId) return
    if (!this._open(node, member, SILENCE_ROUNDS) && member.state !== 'dead') node.membership.linkLost(member)
  }

  private _open (node: INode, member: IMember, probeRounds: number): boolean {
    const other = this.nodes.get(member.processId)
    const key = linkKey(node.self.processId, member.processId)
    if (this._links.has(key)) return true
    if (other === undefined || other === node || !this._works(node, other)) return false
    this._links.set(key, { a: node, b: other, silentRounds: 0, probeRounds })
    this._greet(node, other)
    this._greet(other, node)
    return true
  }

  private _greet (from: INode, to: INode): void {
    const cast = from.membership.linkUp(to.self)
    if (cast !== undefined) this._deliver(from, to.self.processId, cast)
  }

  private _deliver (from: INode, toId: string, cast: IMembersCast): void {
    let [sender, receiver] = [from, this.nodes.get(toId)]
    let next: IMembersCast | undefined = cast
    for (let leg = 0; leg < MAX_LEGS && next !== undefined && receiver !== undefined; leg++) {
      this._meter(sender, receiver, next)
      if (!this._works(sender, receiver)) return
      next = receiver.membership.receive(sender.self.processId, next)
      ;[sender, receiver] = [receiver, sender]
    }
  }
}

function isTrusted (state: MemberState | undefined): boolean {
  return state === 'alive' || state === 'leaving'
}

function chosenBy (node: INode): ReadonlyMap<string, IMember> {
  node.chosen ??= new Map(node.selection.select(node.membership.members()).map((member) => [member.processId, member]))
  return node.chosen
}

function linkKey (a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`
}

/** A cluster of `count` processes over `regions` that all know the first ones, as from the store. */
export function startedCluster (count: number, regions: number, seed: number, meter?: Meter): MembershipCluster {
  const cluster = new MembershipCluster(seed, {}, meter)
  const names = Array.from({ length: count }, (_, index) => ({ id: `p${index}`, region: `r${index % regions}` }))
  for (const { id, region } of names) cluster.start(id, region)
  for (const node of cluster.nodes.values()) {
    for (const other of cluster.nodes.values()) node.membership.storePresent({ ...other.self, state: 'alive' })
  }
  return cluster
}
