/**
 * Who is there, alive, leaving or dead, put together from the store, the own links and what peers tell. Free of I/O:
 * it is told what happened and gives the casts to send.
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

/** What a process says of itself. */
export type SelfDescription = Omit<IMember, 'state'>

export interface IOutgoingCast {
  readonly peerId: string
  readonly cast: IMembersCast
}

export class Membership {
  private readonly _options: IMembershipOptions
  private readonly _awake: AwakeClock
  private readonly _view: MemberView
  private readonly _gossip: MemberGossip
  private readonly _links: LinkWatch
  private readonly _store: StoreWatch
  /** When a suspect or leaving member is dead, or a dead one forgotten, in awake milliseconds. */
  private readonly _deadlines = new Map<string, number>()
  private readonly _local: LocalMembers
  private readonly _supersededEmitter = new Emitter<IMemberNews>()

  /** Fires when another process under our own id has a higher incarnation: this one is no longer listened to. */
  public readonly onSuperseded = this._supersededEmitter.event
  /** Fires when a member is new here or its state or incarnation has changed. */
  public readonly onMember: Event<IMember>

  public constructor (
    private readonly _self: SelfDescription,
    options: Partial<IMembershipOptions>,
    clock: IClock,
    private readonly _random: IRandom
  ) {
    this._options = { ...MEMBERSHIP_DEFAULTS, ...options }
    this._awake = new AwakeClock(clock, this._options.gossipMs)
    this._links = new LinkWatch(this._options)
    this._store = new StoreWatch(this._options.storeTrustMs)
    this._view = new MemberView(this._options.maxMembers, this._options.maxTombstones)
    this._local = new LocalMembers(this._view, this._links)
    this.onMember = this._local.onMember
    this._gossip = new MemberGossip(_self.processId, this._view, this._options, clock, _random, (news) => this._onOwnNews(news))
    this._view.onChange((change) => this._onViewChange(change))
    this._view.put({ ..._self, state: 'alive', sequence: 0 })
  }

  /** All members known here, this process included, dead ones until they are forgotten. */
  public members (): readonly IMember[] {
    return this._local.all()
  }

  public get (processId: string): IMember | undefined {
    return this._local.get(processId)
  }

  /** The statement about a process that holds among all, whatever the own links say; for the state dump. */
  public standing (processId: string): IMemberNews | undefined {
    return this._view.standing(processId)
  }

  /** What all members agree on in the end: hash of the view without the dead. */
  public get viewHash (): number {
    return this._view.digest.viewHash
  }

  /** Processes whose record is in the store although they are dead or unknown here: worth dialling. */
  public inStoreButDead (): readonly IMember[] {
    return [...this._store.present()].filter((member) => (this._local.get(member.processId)?.state ?? 'dead') === 'dead')
  }

  /** A link to this process stands. Gives what to say first on it. */
  public linkUp (peer: IProcessIdentity): IMembersCast | undefined {
    this._links.noteUp(peer, this._awake.awakeMs)
    this._local.refresh(peer.processId)
    return this._gossip.greeting(peer.processId)
  }

  /** A link failed, or could not be had. */
  public linkLost (peer: IProcessIdentity): void {
    this._links.noteLost(peer, this._awake.awakeMs)
    this._local.refresh(peer.processId)
  }

  /** A link was given up in good order. A leaving member that does so has most likely gone. */
  public linkReleased (peer: IProcessIdentity): void {
    if (this._view.get(peer.processId)?.state === 'leaving') return this.linkLost(peer)
    this._links.noteReleased(peer)
    this._local.refresh(peer.processId)
  }

  /** A peer's cast. Gives the answer to it, if there is any. */
  public receive (fromId: string, cast: IMembersCast): IMembersCast | undefined {
    return this._gossip.receive(fromId, cast)
  }

  /** The store can or can't be reached. */
  public storeReachable (reachable: boolean): void {
    this._store.noteReachable(reachable, this._awake.awakeMs)
  }

  /** The store holds this record. */
  public storePresent (member: IMember): void {
    this._store.notePresent(member)
    this._putFromStore(member)
  }

  /** The store no longer holds the record of this process. */
  public storeAbsent (processId: string): void {
    this._store.noteAbsent(processId)
  }

  /** Everything that the store holds, after a gap. */
  public storeAll (members: readonly IMember[]): void {
    this._store.noteAll(members)
    for (const member of members) this._putFromStore(member)
  }

  /** Says that this process leaves: it gets no new work. */
  public leave (): void {
    this._say((own) => ({ ...own, state: 'leaving', sequence: own.sequence + 1 }))
  }

  /** A cast to one linked peer outside of the rounds, for news that must not wait. */
  public castTo (peerId: string): IMembersCast | undefined {
    return this._gossip.nextCast(peerId)
  }

  /** To be called every `gossipMs`: judges the silent, and gives the casts of this round. */
  public tick (): readonly IOutgoingCast[] {
    this._awake.tick()
    for (const peer of this._links.takeDue(this._awake.awakeMs)) this._onLinkGone(peer)
    for (const member of this._store.takeAbsent(this._awake.awakeMs)) this._suspect(member)
    this._passDeadlines()
    return this._round()
  }

  /**
   * Not passed on as news: the others read the same store, or find the difference by comparing views. A process that
   * starts would otherwise tell everybody about everybody.
   */
  private _putFromStore (member: IMember): void {
    if (member.processId !== this._self.processId) this._view.put({ ...member, sequence: 0 })
  }

  private _onOwnNews (news: IMemberNews): void {
    if (news.incarnation > this._self.incarnation) this._supersededEmitter.fire(news)
    this._say((own) => refute(own, news))
  }

  private _say (change: (own: IMemberRecord) => IMemberNews | undefined): void {
    const own = this._view.get(this._self.processId)
    const next = own === undefined ? undefined : change(own)
    if (next !== undefined) this._assert(next)
  }

  /** Puts forward a statement of our own. */
  private _assert (news: IMemberNews): void {
    if (this._view.apply(news) === 'applied') this._gossip.spread(news.processId)
  }

  private _onLinkGone (peer: IProcessIdentity): void {
    const record = this._view.get(peer.processId)
    if (record === undefined) this._links.forget(peer.processId)
    if (record?.incarnation !== peer.incarnation) return
    if (record.state === 'leaving') this._deadlines.set(peer.processId, this._awake.awakeMs + this._suspectMs())
    else this._suspect(peer)
  }

  private _suspect (peer: IProcessIdentity): void {
    const record = this._view.get(peer.processId)
    if (peer.processId === this._self.processId) return
    if (record?.state !== 'alive' || record.incarnation !== peer.incarnation || this._links.isUp(peer)) return
    this._assert({ ...record, state: 'suspect' })
  }

  private _passDeadlines (): void {
    for (const [processId, deadlineMs] of [...this._deadlines]) {
      const record = this._view.get(processId)
      if (deadlineMs > this._awake.awakeMs || (record !== undefined && this._links.isUp(record))) continue
      this._deadlines.delete(processId)
      if (record === undefined || record.state === 'dead') this._forget(processId, record)
      else this._assert({ ...record, state: 'dead' })
    }
  }

  private _forget (processId: string, record: IMemberRecord | undefined): void {
    if (record !== undefined) this._view.forget(record)
    this._links.forget(processId)
    this._local.forget(processId)
  }

  private _suspectMs (): number {
    return this._options.suspectMs * Math.max(1, Math.log10(this._view.size))
  }

  private _onViewChange ({ record }: IViewChange): void {
    const { processId, state } = record
    this._deadlines.delete(processId)
    if (processId !== this._self.processId) {
      if (state === 'suspect') this._deadlines.set(processId, this._awake.awakeMs + this._suspectMs())
      if (state === 'dead') this._deadlines.set(processId, this._awake.awakeMs + this._options.forgetMs)
    }
    this._local.refresh(processId)
  }

  private _round (): readonly IOutgoingCast[] {
    const casts: IOutgoingCast[] = []
    for (const peerId of this._roundPeers()) {
      const cast = this._gossip.nextCast(peerId)
      if (cast !== undefined) casts.push({ peerId, cast })
    }
    return casts
  }

  private _roundPeers (): ReadonlySet<string> {
    const linked = this._links.linkedPeers()
    const near = linked.filter((peer) => peer.region === this._self.region)
    const far = linked.filter((peer) => peer.region !== this._self.region)
    const isFarTurn = near.length === 0 || this._random.next() < this._options.crossRegionChance
    const misjudged = linked.filter((peer) => this._isMisjudged(peer))
    const chosen = [...misjudged, ...chooseRandom(near, this._options.fanout, this._random), ...chooseRandom(far, isFarTurn ? 1 : 0, this._random)]
    return new Set(chosen.map((peer) => peer.processId))
  }

  /** Linked, yet suspected or dead in the common view: it has to hear of it, for it alone can refute it. */
  private _isMisjudged (peer: IProcessIdentity): boolean {
    const state = this._view.standing(peer.processId)?.state
    return state === 'suspect' || state === 'dead'
  }
}
