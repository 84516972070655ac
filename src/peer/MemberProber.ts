/**
 * Dials a member that this process has no link to, one at a time and now and then.
 *
 * Two things would go unnoticed without it. Members whose linked peers died together with them, as when a failure
 * domain is lost while the store is down, would stay in all lists as alive. And two halves of a healed partition,
 * each of which holds the other for dead, would never dial each other again. The cost is one handshake per period
 * and process, whatever the number of members.
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
  private _isDeadTurn = false

  public constructor (
    private readonly _hub: IPeerHub,
    private readonly _membership: Membership,
    private readonly _selfId: string,
    private readonly _options: IMemberProberOptions,
    private readonly _environment: Pick<IPeerEnvironment, 'timers' | 'random'>
  ) {}

  /** Probes after a random part of the period, and so on. */
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

  /** By turns the dead, to find a healed partition, and the others, to find the dead. */
  private _candidates (): readonly IMember[] {
    this._isDeadTurn = !this._isDeadTurn
    const unlinked = this._membership.members().filter((member) =>
      member.processId !== this._selfId && this._hub.link(member.processId) === undefined)
    const dead = unlinked.filter((member) => member.state === 'dead')
    const others = unlinked.filter((member) => member.state !== 'dead')
    const deadOrForgotten = [...dead, ...this._membership.inStoreButDead()]
    const [first, second] = this._isDeadTurn ? [deadOrForgotten, others] : [others, deadOrForgotten]
    return first.length > 0 ? first : second
  }

  private _dial (member: IMember): void {
    this._probe = this._hub.dial(member.peerUrl, member.processId)
    this._timer = this._environment.timers.after(this._options.probeTimeoutMs, () => {
      if (this._hub.link(member.processId) === undefined && member.state !== 'dead') this._membership.linkLost(member)
      this._probe?.dispose()
      this.start()
    })
  }
}
