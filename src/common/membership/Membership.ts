/**
 * Which members there are and their states, derived from the store, the links of this process and the gossip of peers.
 * `Membership` does no I/O: it is notified of events and returns the casts to send.
 */

import { AwakeClock } from '../AwakeClock.js'
import { Emitter } from '../Emitter.js'
import type { Event } from '../Emitter.js'
import type { IMember, IMemberNews, IMemberRecord, IMembersCast } from '../protocol/Types.js'
import type { IClock, IProcessIdentity, IRandom } from '../Types.js'
import { LinkWatch } from './LinkWatch.js'
import { LocalMembers } from './LocalMembers.js'
import { MemberGossip } from './MemberGossip.js'
import { MemberView } from './MemberView.js'
import type { IViewChange } from './MemberView.js'
import { MEMBERSHIP_DEFAULTS } from './Options.js'
import type { IMembershipOptions } from './Options.js'
import { refute } from './Precedence.js'
import { chooseRandom } from './RandomChoice.js'
import { StoreWatch } from './StoreWatch.js'

/** How a process describes itself. */
export type SelfDescription = Omit<IMember, 'state'>

export interface IOutgoingCast {
  readonly peerId: string
  readonly cast: IMembersCast
}

export class Membership {
  private readonly _options: IMembershipOptions
  private readonly _awakeClock: AwakeClock
  private readonly _view: MemberView
  private readonly _gossip: MemberGossip
  private readonly _links: LinkWatch
  private readonly _store: StoreWatch
  /** When a suspect or leaving member is declared dead, or a dead member is forgotten, in awake milliseconds. */
  private readonly _deadlines = new Map<string, number>()
  private readonly _localMembers: LocalMembers
  private readonly _supersededEmitter = new Emitter<IMemberNews>()

  /** Fires when another process with the same process id has a higher incarnation. Other members then ignore statements of this process. */
  public readonly onSuperseded = this._supersededEmitter.event
  /** Fires when this process learns of a new member, or when a member's state or incarnation has changed. */
  public readonly onMember: Event<IMember>

  public constructor (
    private readonly _self: SelfDescription,
    options: Partial<IMembershipOptions>,
    clock: IClock,
    private readonly _random: IRandom
  ) {
    this._options = { ...MEMBERSHIP_DEFAULTS, ...options }
    this._awakeClock = new AwakeClock(clock, this._options.gossipMs)
    this._links = new LinkWatch(this._options)
    this._store = new StoreWatch(this._options.storeTrustMs)
    this._view = new MemberView(this._options.maxMembers, this._options.maxTombstones)
    this._localMembers = new LocalMembers(this._view, this._links)
    this.onMember = this._localMembers.onMember
    this._gossip = new MemberGossip(_self.processId, this._view, this._options, clock, _random, (news) => this._onOwnNews(news))
    this._view.onChange((change) => this._onViewChange(change))
    this._view.putRecord({ ..._self, state: 'alive', sequence: 0 })
  }

  /** All known members, including this process, and including dead members until they are forgotten. */
  public members (): readonly IMember[] {
    return this._localMembers.all()
  }

  public get (processId: string): IMember | undefined {
    return this._localMembers.get(processId)
  }

  /** The current statement about a process in the shared view, regardless of the links of this process. For the state dump. */
  public statementOf (processId: string): IMemberNews | undefined {
    return this._view.statementOf(processId)
  }

  /** Hash of the view without dead members. It becomes equal on all members once their views have converged. */
  public get viewHash (): number {
    return this._view.digest.viewHash
  }

  /** Processes that have a record in the store but are dead or unknown in the local view, so that they should be dialled. */
  public deadMembersInStore (): readonly IMember[] {
    return [...this._store.present()].filter((member) => (this._localMembers.get(member.processId)?.state ?? 'dead') === 'dead')
  }

  /** Called when a link to this peer is up. Returns the first cast to send on it. */
  public onLinkUp (peer: IProcessIdentity): IMembersCast | undefined {
    this._links.recordUp(peer, this._awakeClock.awakeMs)
    this._localMembers.refresh(peer.processId)
    return this._gossip.createGreeting(peer.processId)
  }

  /** Called when a link has failed or could not be established. */
  public onLinkLost (peer: IProcessIdentity): void {
    this._links.recordLost(peer, this._awakeClock.awakeMs)
    this._localMembers.refresh(peer.processId)
  }

  /** Called when a link was closed on purpose. If the peer is leaving, it has most likely stopped. */
  public onLinkReleased (peer: IProcessIdentity): void {
    if (this._view.get(peer.processId)?.state === 'leaving') return this.onLinkLost(peer)
    this._links.recordReleased(peer)
    this._localMembers.refresh(peer.processId)
  }

  /** Applies a peer's cast. Returns the answer, or undefined if there is none. */
  public receive (fromId: string, cast: IMembersCast): IMembersCast | undefined {
    return this._gossip.receive(fromId, cast)
  }

  /** Called when the store becomes reachable or unreachable. */
  public onStoreReachable (reachable: boolean): void {
    this._store.recordReachable(reachable, this._awakeClock.awakeMs)
  }

  /** Called when the store contains this record. */
  public onStorePresent (member: IMember): void {
    this._store.recordPresent(member)
    this._putFromStore(member)
  }

  /** Called when the store no longer contains the record of a process. */
  public onStoreAbsent (processId: string): void {
    this._store.recordAbsent(processId)
  }

  /** Called with all records of the store, after a gap in the watch. */
  public onStoreSnapshot (members: readonly IMember[]): void {
    this._store.recordAll(members)
    for (const member of members) this._putFromStore(member)
  }

  /** Announces that this process is leaving, so that it receives no new work. */
  public leave (): void {
    this._announce((own) => ({ ...own, state: 'leaving', sequence: own.sequence + 1 }))
  }

  /** A cast to one linked peer between the rounds, for news that must not wait. */
  public createCastFor (peerId: string): IMembersCast | undefined {
    return this._gossip.createCast(peerId)
  }

  /** Must be called every `gossipMs`. Updates the states of unreachable members and returns the casts of this round. */
  public tick (): readonly IOutgoingCast[] {
    this._awakeClock.tick()
    for (const peer of this._links.collectDueLosses(this._awakeClock.awakeMs)) this._onLinkLossDue(peer)
    for (const member of this._store.collectAbsent(this._awakeClock.awakeMs)) this._suspect(member)
    this._applyDeadlines()
    return this._buildRound()
  }

  /**
   * Merges a record from the store without spreading it: other members read the same store, or find the difference by
   * comparing views. Otherwise a process that starts would send news of all members to all members.
   */
  private _putFromStore (member: IMember): void {
    if (member.processId !== this._self.processId) this._view.putRecord({ ...member, sequence: 0 })
  }

  private _onOwnNews (news: IMemberNews): void {
    if (news.incarnation > this._self.incarnation) this._supersededEmitter.fire(news)
    this._announce((own) => refute(own, news))
  }

  private _announce (change: (own: IMemberRecord) => IMemberNews | undefined): void {
    const own = this._view.get(this._self.processId)
    const next = own === undefined ? undefined : change(own)
    if (next !== undefined) this._applyAndSpread(next)
  }

  /** Applies a statement that this process makes, and spreads it. */
  private _applyAndSpread (news: IMemberNews): void {
    if (this._view.applyNews(news) === 'applied') this._gossip.spread(news.processId)
  }

  private _onLinkLossDue (peer: IProcessIdentity): void {
    const record = this._view.get(peer.processId)
    if (record === undefined) this._links.forget(peer.processId)
    if (record?.incarnation !== peer.incarnation) return
    if (record.state === 'leaving') this._deadlines.set(peer.processId, this._awakeClock.awakeMs + this._suspectTimeoutMs())
    else this._suspect(peer)
  }

  private _suspect (peer: IProcessIdentity): void {
    const record = this._view.get(peer.processId)
    if (peer.processId === this._self.processId) return
    if (record?.state !== 'alive' || record.incarnation !== peer.incarnation || this._links.isUp(peer)) return
    this._applyAndSpread({ ...record, state: 'suspect' })
  }

  private _applyDeadlines (): void {
    for (const [processId, deadlineMs] of [...this._deadlines]) {
      const record = this._view.get(processId)
      if (deadlineMs > this._awakeClock.awakeMs || (record !== undefined && this._links.isUp(record))) continue
      this._deadlines.delete(processId)
      if (record === undefined || record.state === 'dead') this._forget(processId, record)
      else this._applyAndSpread({ ...record, state: 'dead' })
    }
  }

  private _forget (processId: string, record: IMemberRecord | undefined): void {
    if (record !== undefined) this._view.forget(record)
    this._links.forget(processId)
    this._localMembers.forget(processId)
  }

  private _suspectTimeoutMs (): number {
    return this._options.suspectMs * Math.max(1, Math.log10(this._view.size))
  }

  private _onViewChange ({ record }: IViewChange): void {
    const { processId, state } = record
    this._deadlines.delete(processId)
    if (processId !== this._self.processId) {
      if (state === 'suspect') this._deadlines.set(processId, this._awakeClock.awakeMs + this._suspectTimeoutMs())
      if (state === 'dead') this._deadlines.set(processId, this._awakeClock.awakeMs + this._options.forgetMs)
    }
    this._localMembers.refresh(processId)
  }

  private _buildRound (): readonly IOutgoingCast[] {
    const casts: IOutgoingCast[] = []
    for (const peerId of this._selectRoundPeers()) {
      const cast = this._gossip.createCast(peerId)
      if (cast !== undefined) casts.push({ peerId, cast })
    }
    return casts
  }

  private _selectRoundPeers (): ReadonlySet<string> {
    const linked = this._links.linkedPeers()
    const sameRegion = linked.filter((peer) => peer.region === this._self.region)
    const otherRegions = linked.filter((peer) => peer.region !== this._self.region)
    const includesOtherRegion = sameRegion.length === 0 || this._random.next() < this._options.crossRegionChance
    const refuting = linked.filter((peer) => this._hasToRefute(peer))
    const chosen = [
      ...refuting,
      ...chooseRandom(sameRegion, this._options.fanout, this._random),
      ...chooseRandom(otherRegions, includesOtherRegion ? 1 : 0, this._random)
    ]
    return new Set(chosen.map((peer) => peer.processId))
  }

  /** Whether a linked peer is suspect or dead in the shared view. The peer must receive that statement, as only the peer can refute it. */
  private _hasToRefute (peer: IProcessIdentity): boolean {
    const state = this._view.statementOf(peer.processId)?.state
    return state === 'suspect' || state === 'dead'
  }
}
