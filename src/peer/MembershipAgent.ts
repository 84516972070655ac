/**
 * Connects `Membership` to the links of the hub: reports link and store events to it, sends its casts, and dials the
 * members that `PeerSelection` selects.
 */

import { Membership } from '../common/membership/Membership.js'
import type { IOutgoingCast, SelfDescription } from '../common/membership/Membership.js'
import type { IMembershipOptions } from '../common/membership/Options.js'
import { MEMBERSHIP_DEFAULTS } from '../common/membership/Options.js'
import { PEER_SELECTION_DEFAULTS, PeerSelection } from '../common/membership/PeerSelection.js'
import type { IPeerSelectionOptions } from '../common/membership/PeerSelection.js'
import type { Event } from '../common/Emitter.js'
import { DisposableStore } from '../common/Emitter.js'
import type { IMember, IMemberNews, IMembersCast } from '../common/protocol/Types.js'
import type { IDisposable, IProcessIdentity } from '../common/Types.js'
import { MemberProber } from './MemberProber.js'
import type { IPeerEnvironment } from './PeerHubOptions.js'
import type { IPeerHub } from './Types.js'

/** A process to dial when neither the store nor a peer has reported any members. */
export interface ISeedPeer {
  readonly processId: string
  readonly peerUrl: string
}

export interface IMembershipAgentOptions {
  readonly membership: Partial<IMembershipOptions>
  readonly selection: IPeerSelectionOptions
  /** Dialled while this process has no link at all, so that a process that starts during a store outage can join. */
  readonly seeds: readonly ISeedPeer[]
  /** Time between probes of a member without a link. */
  readonly probeMs: number
  /** Time after which a probe fails and the member counts as unreachable. */
  readonly probeTimeoutMs: number
}

export const MEMBERSHIP_AGENT_DEFAULTS: IMembershipAgentOptions = {
  membership: {}, selection: PEER_SELECTION_DEFAULTS, seeds: [], probeMs: 10_000, probeTimeoutMs: 4_000
}

export class MembershipAgent implements IDisposable {
  /** Fires when this process learns of a new member, or when a member's state or incarnation has changed. */
  public readonly onMember: Event<IMember>
  /** Fires when another process with the same process id has a higher incarnation. This process should then stop. */
  public readonly onSuperseded: Event<IMemberNews>
  private readonly _options: IMembershipAgentOptions
  private readonly _membership: Membership
  private readonly _selection: PeerSelection
  private readonly _prober: MemberProber
  private readonly _registrations = new DisposableStore()
  private readonly _dials = new Map<string, IDial>()
  /** The current selection of peers; undefined after a change of the members. */
  private _selected: readonly IMember[] | undefined

  /**
   * @param _hub the links; its owner must start it
   * @param self this process, with the addresses at which others reach it
   * @param options overrides of `MEMBERSHIP_AGENT_DEFAULTS`
   */
  public constructor (
    private readonly _hub: IPeerHub,
    self: SelfDescription,
    options: Partial<IMembershipAgentOptions>,
    private readonly _environment: IPeerEnvironment
  ) {
    this._options = { ...MEMBERSHIP_AGENT_DEFAULTS, ...options }
    this._membership = new Membership(self, this._options.membership, _environment.clock, _environment.random)
    this._selection = new PeerSelection(self, this._options.selection)
    this._prober = new MemberProber(_hub, this._membership, self.processId, this._options, _environment)
    this.onMember = this._membership.onMember
    this.onSuperseded = this._membership.onSuperseded
  }

  /** Starts listening, gossip, dialling and probing. */
  public start (): void {
    const gossipMs = this._options.membership.gossipMs ?? MEMBERSHIP_DEFAULTS.gossipMs
    this._registrations.add(this._hub.listen('members', (cast, from) => this._onCast(cast, from)))
    this._registrations.add(this._hub.onLink((link) => this._onLink(link.peer)))
    this._registrations.add(this._hub.onLost((peer, cause) => {
      if (cause === 'released') this._membership.onLinkReleased(peer)
      else this._membership.onLinkLost(peer)
    }))
    this._registrations.add(this.onMember(() => { this._selected = undefined }))
    this._registrations.add(this._environment.timers.every(gossipMs, () => this._tick()))
    this._registrations.add(this._prober)
    this._prober.start()
    this._tick()
  }

  /** Keeps a link to a member, whether `PeerSelection` selected it or not, until disposed. Returns undefined for an unknown member. */
  public keepLink (processId: string): IDisposable | undefined {
    const member = this.member(processId)
    return member === undefined ? undefined : this._hub.dial(member.peerUrl, processId)
  }

  /** All known members, including this process, and including dead members until they are forgotten. */
  public members (): readonly IMember[] {
    return this._membership.members()
  }

  public member (processId: string): IMember | undefined {
    return this._membership.get(processId)
  }

  /** Schedulers that can receive new work: alive, linked and not leaving. Iterates over all members. */
  public routableSchedulers (): readonly IMember[] {
    return this.members().filter((member) =>
      member.role === 'scheduler' && member.state === 'alive' && this._hub.link(member.processId) !== undefined)
  }

  /** Announces to all linked peers at once that this process is leaving, so that it receives no new work. */
  public leave (): void {
    this._membership.leave()
    for (const link of this._hub.links()) {
      const cast = this._membership.createCastFor(link.peer.processId)
      if (cast !== undefined) link.cast('members', cast)
    }
  }

  /** Reports whether the store can be reached. */
  public onStoreReachable (reachable: boolean): void {
    this._membership.onStoreReachable(reachable)
  }

  /** Reports that the record of a process was written to the store. */
  public onStorePresent (member: IMember): void {
    this._membership.onStorePresent(member)
  }

  /** Reports that the record of a process is no longer in the store. */
  public onStoreAbsent (processId: string): void {
    this._membership.onStoreAbsent(processId)
  }

  /** Reports all records in the store, after a start or after a gap in the watch. */
  public onStoreSnapshot (members: readonly IMember[]): void {
    this._membership.onStoreSnapshot(members)
  }

  public dispose (): void {
    this._registrations.dispose()
    for (const { registration } of this._dials.values()) registration.dispose()
    this._dials.clear()
  }

  private _tick (): void {
    for (const outgoing of this._membership.tick()) this._send(outgoing)
    this._updateDials()
  }

  private _onLink (peer: IProcessIdentity): void {
    const cast = this._membership.onLinkUp(peer)
    if (cast !== undefined) this._send({ peerId: peer.processId, cast })
  }

  private _onCast (cast: IMembersCast, from: IProcessIdentity): void {
    const answer = this._membership.receive(from.processId, cast)
    if (answer !== undefined) this._send({ peerId: from.processId, cast: answer })
  }

  private _send ({ peerId, cast }: IOutgoingCast): void {
    this._hub.link(peerId)?.cast('members', cast)
  }

  private _updateDials (): void {
    const urlsToDial = new Map(this._peersToDial().map((peer) => [peer.processId, peer.peerUrl]))
    for (const [processId, dial] of this._dials) {
      if (urlsToDial.get(processId) === dial.peerUrl) continue
      dial.registration.dispose()
      this._dials.delete(processId)
    }
    for (const [processId, peerUrl] of urlsToDial) {
      if (!this._dials.has(processId)) this._dials.set(processId, { peerUrl, registration: this._hub.dial(peerUrl, processId) })
    }
  }

  private _peersToDial (): readonly ISeedPeer[] {
    const selected = this._selected ?? this._selection.select(this.members())
    this._selected = selected
    return this._hub.links().length > 0 ? selected : [...this._options.seeds, ...selected]
  }
}

interface IDial {
  readonly peerUrl: string
  readonly registration: IDisposable
}
