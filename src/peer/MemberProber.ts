/**
 * Periodically dials one random member that this process has no link to.
 *
 * Two conditions would go undetected without probes. If a failure domain is lost while the store is unavailable, members
 * may die together with all peers that had links to them, and would stay alive in every member list. And after a
 * partition has healed, its two sides consider each other dead and would never dial each other again. The cost is one
 * handshake per period and process, whatever the number of members.
 */

import type { Membership } from '../common/membership/Membership.js'
import { chooseRandom } from '../common/membership/RandomChoice.js'
import type { IMember } from '../common/protocol/Types.js'
import type { IDisposable } from '../common/Types.js'
import type { IPeerEnvironment } from './PeerHubOptions.js'
import type { IPeerHub } from './Types.js'

export interface IMemberProberOptions {
  readonly probeMs: number
  readonly probeTimeoutMs: number
}

export class MemberProber implements IDisposable {
  private _timer: IDisposable | undefined
  private _probe: IDisposable | undefined
  private _isProbingDead = false

  public constructor (
    private readonly _hub: IPeerHub,
    private readonly _membership: Membership,
    private readonly _selfId: string,
    private readonly _options: IMemberProberOptions,
    private readonly _environment: Pick<IPeerEnvironment, 'timers' | 'random'>
  ) {}

  /** Starts a probe after a random delay of 0.5 to 1.5 periods, and repeats this after each probe. */
  public start (): void {
    const delayMs = this._options.probeMs * (0.5 + this._environment.random.next())
    this._timer = this._environment.timers.after(delayMs, () => {
      const [member] = chooseRandom(this._candidates(), 1, this._environment.random)
      if (member === undefined) this.start()
      else this._dial(member)
    })
  }

  public dispose (): void {
    this._timer?.dispose()
    this._probe?.dispose()
  }

  /** Alternates between dead members, to detect a healed partition, and the other members, to detect that they have died. */
  private _candidates (): readonly IMember[] {
    this._isProbingDead = !this._isProbingDead
    const unlinked = this._membership.members().filter((member) =>
      member.processId !== this._selfId && this._hub.link(member.processId) === undefined)
    const dead = unlinked.filter((member) => member.state === 'dead')
    const others = unlinked.filter((member) => member.state !== 'dead')
    const deadOrForgotten = [...dead, ...this._membership.deadMembersInStore()]
    const [first, second] = this._isProbingDead ? [deadOrForgotten, others] : [others, deadOrForgotten]
    return first.length > 0 ? first : second
  }

  private _dial (member: IMember): void {
    this._probe = this._hub.dial(member.peerUrl, member.processId)
    this._timer = this._environment.timers.after(this._options.probeTimeoutMs, () => {
      if (this._hub.link(member.processId) === undefined && member.state !== 'dead') this._membership.onLinkLost(member)
      this._probe?.dispose()
      this.start()
    })
  }
}
