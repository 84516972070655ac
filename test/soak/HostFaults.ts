/**
 * The faults of hosts: their network path, their entry in the store, restarts, late orders and late lists.
 */

import { setTimeout as pause } from 'node:timers/promises'
import { pickRandom } from './pickRandom.js'

import type { IStandInHost, PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'
import type { SeededRandom } from '../../src/common/Random.js'
import type { InvariantChecker } from './InvariantChecker.js'

/** Starts a fault and resolves with the function that ends it. */
export type Fault = () => Promise<() => void | Promise<void>>

/** The directions of a network path that a cut may affect. */
export const CUTS = [['toTarget'], ['toClient'], ['toTarget', 'toClient']] as const
/** The longest time between the exit of a run and the listing of its end, in ms. */
const MAX_LISTING_MS = 150
/** The longest time between the announcement that a host leaves and the removal of its entry, in ms. */
const MAX_DRAIN_MS = 2000
/** The longest delay of a renewal that arrives after the entry was removed, in ms. */
const MAX_RENEWAL_MS = 1000
/** A cut around the end of a run begins at most this long before or after the end, in ms. */
const CUT_OFFSET_MS = 60
const MAX_LONGER_MS = 5000
/** The shares of orders and of polls that are late on a host with this fault. */
const LATE_SHARE = 0.3
const LATE_POLL_SHARE = 0.5
/** The delay of late orders and polls, in ms. */
const MIN_LATE_MS = 800
const MAX_LATE_MS = 12_000
/** The most restarts of a host that late orders may outlast. */
const MAX_RESTARTS = 3
/** How long a host is down that restarts behind a cut, and how long it is back before it restarts again or is cut off; at most, in ms. */
const MAX_DOWN_MS = 600
const MAX_BACK_MS = 2500
/** A host that is cut off after a restart stays so for longer than its leases, in ms. */
const MIN_RECUT_MS = 4000
/** The time that long runs take at least, in ms: longer than a lease. */
const MIN_LONG_MS = 3000
const MAX_LONG_MS = 12_000

export class HostFaults {
  public constructor (
    private readonly _platform: PlatformStandIn,
    private readonly _checker: InvariantChecker,
    private readonly _random: SeededRandom
  ) {}

  public all (): ReadonlyMap<string, Fault> {
    return new Map<string, Fault>([
      ['hostCut', async () => this.cut(this._pickHost())],
      ['hostCutAtEnd', async () => await this._cutAtEnd()],
      ['hostRestart', async () => this._restart(this._pickHost())],
      ['hostLate', async () => this._delayOrders()],
      ['hostLateRestart', async () => await this._restartBeforeLateOrders(0)],
      ['hostLatePollRestart', async () => await this._restartBeforeLateOrders(LATE_POLL_SHARE)],
      ['hostRecut', async () => await this._restartAndCut()],
      ['hostLeave', async () => this._drain()],
      ['hostLeaveUnlisted', async () => await this._drainUnlisted()],
      ['hostLost', async () => this._lose()],
      ['hostUnlisted', async () => this._cutFromStore()],
      ['hostLateList', async () => this._delayLists()]
    ])
  }

  /** Cuts one or both directions of the host's network path. Returns the function that restores them. */
  public cut ({ hostId, forwarder }: IStandInHost): () => void {
    this._checker.recordDisturbance(hostId, 'cut')
    forwarder.cut(...pickRandom(this._random, CUTS))
    return () => {
      this._checker.recordDisturbance(hostId, 'heal')
      forwarder.heal()
    }
  }

  /** A host is cut off within a moment of the end of one of its runs, and returns before or after its lease has ended. */
  private async _cutAtEnd (): Promise<() => Promise<void>> {
    const host = this._pickHost()
    const run = [...host.host.running.values()].find(({ workMs }) => workMs < Infinity)
    const offsetMs = (2 * this._random.next() - 1) * CUT_OFFSET_MS
    if (run !== undefined) await pause(Math.max(0, run.beganAtMs + run.workMs - performance.now() + offsetMs))
    const heal = this.cut(host)
    const longerMs = this.drawLongerMs()
    return async () => {
      await pause(longerMs)
      heal()
    }
  }

  /** How much longer a cut lasts: half of the cuts may last until all leases of the host have ended. */
  public drawLongerMs (): number {
    return this._random.next() < 0.5 ? 0 : this._random.next() * MAX_LONGER_MS
  }

  private _restart (host: IStandInHost): () => void {
    if (!this._platform.hosts.includes(host)) return () => {}
    this._checker.recordDisturbance(host.hostId, 'restart')
    host.host.restart()
    host.registration.renew()
    return () => {}
  }

  /** A host restarts, once or several times, while orders, and this share of the polls, are on their way, and carries them out afterwards. */
  private async _restartBeforeLateOrders (latePollShare: number): Promise<() => Promise<void>> {
    const listed = this._pickHost()
    const undo = this._delayBeyondRestart(listed, latePollShare)
    if (this._random.next() < 0.5) listed.host.minWorkMs = this._drawLongWorkMs()
    const restarts = 1 + Math.floor(this._random.next() * MAX_RESTARTS)
    for (let restart = 0; restart < restarts; restart += 1) {
      await pause(this._random.next() * MAX_LATE_MS / restarts)
      this._restart(listed)
    }
    return async () => {
      listed.host.minWorkMs = 0
      await undo()
    }
  }

  /** Orders to a host, and this share of the polls, are late, and a restart of the host overtakes them. */
  private _delayBeyondRestart (listed: IStandInHost, latePollShare: number): () => Promise<void> {
    const { host } = listed
    const undo = this._delayOrders(listed)
    if (latePollShare > 0) this._checker.recordDisturbance(listed.hostId, 'late polls', 1)
    host.isOvertakenByRestart = true
    host.latePollShare = latePollShare
    return async () => {
      undo()
      host.latePollShare = 0
      host.isOvertakenByRestart = false
      await pause(MAX_LATE_MS)
      this._checker.recordDisturbance(listed.hostId, 'late orders end', latePollShare > 0 ? -1 : 0)
    }
  }

  /** A host restarts once or twice, takes long work, and is cut off soon after, until its leases have ended. */
  private async _restartAndCut (): Promise<() => Promise<void>> {
    const listed = this._pickHost()
    const { host, forwarder, registration } = listed
    const undoDelay = this._random.next() < 0.5 ? this._delayBeyondRestart(listed, LATE_POLL_SHARE) : undefined
    if (undoDelay !== undefined) await pause(this._random.next() * MAX_LATE_MS / 2)
    host.minWorkMs = this._drawLongWorkMs()
    const restarts = this._random.next() < 0.5 ? 1 : 2
    for (let restart = 0; restart < restarts; restart += 1) {
      await this._restartBehindCut(listed)
      await pause(this._random.next() * MAX_BACK_MS)
    }
    this._checker.recordDisturbance(listed.hostId, 'cut', 1)
    forwarder.cut('toTarget', 'toClient')
    registration.isCut = this._random.next() < 0.5
    host.minWorkMs = 0
    return async () => {
      await Promise.all([undoDelay?.(), pause(MIN_RECUT_MS + this.drawLongerMs())])
      this._checker.recordDisturbance(listed.hostId, 'heal', -1)
      registration.isCut = false
      forwarder.heal()
    }
  }

  /** A host restarts. Its connections break, or stay open without data, and the store may have its earlier entry until the next heartbeat. */
  private async _restartBehindCut (listed: IStandInHost): Promise<void> {
    if (!this._platform.hosts.includes(listed)) return
    const { hostId, host, forwarder, registration } = listed
    this._checker.recordDisturbance(hostId, 'restart behind a cut')
    forwarder.cut('toTarget', 'toClient')
    host.restart()
    await pause(this._random.next() * MAX_DOWN_MS)
    if (this._random.next() < 0.5) forwarder.healForNew()
    else forwarder.heal()
    if (this._random.next() < 0.5) registration.renew()
  }

  /** A host drains and leaves, and another one takes its place. Its runs end without a report. */
  private _drain (leaving = this._pickHost()): () => Promise<void> {
    leaving.host.isDraining = true
    leaving.registration.renew()
    return async () => {
      if (!this._platform.hosts.includes(leaving)) return
      this._checker.recordDisturbance(leaving.hostId, 'leave')
      this._platform.removeHost(leaving)
      await this._platform.addHost()
    }
  }

  /** The entry of a host that drains is removed while the host goes on, and a late renewal may bring the entry back. */
  private async _drainUnlisted (): Promise<() => Promise<void>> {
    const leaving = this._pickHost()
    const undo = this._drain(leaving)
    await pause(this._random.next() * MAX_DRAIN_MS)
    leaving.registration.remove()
    const renews = this._random.next() < 0.5
    const renewalMs = this._random.next() * MAX_RENEWAL_MS
    if (renews) setTimeout(() => { if (this._platform.hosts.includes(leaving)) leaving.registration.renew() }, renewalMs)
    return undo
  }

  /** A host is gone for good without a word. Another one joins later. */
  private _lose (): () => Promise<void> {
    const lost = this._pickHost()
    this._checker.recordDisturbance(lost.hostId, 'lost')
    this._platform.loseHost(lost)
    return async () => { await this._platform.addHost() }
  }

  /** A host can't renew its entry, which expires, and goes on running its tasks. */
  private _cutFromStore (): () => void {
    const { registration } = this._pickHost()
    registration.isCut = true
    return () => {
      registration.isCut = false
    }
  }

  private _drawLongWorkMs (): number {
    return MIN_LONG_MS + this._random.next() * (MAX_LONG_MS - MIN_LONG_MS)
  }

  private _delayOrders ({ host } = this._pickHost()): () => void {
    host.lateShare = LATE_SHARE
    host.minLateMs = MIN_LATE_MS
    host.maxLateMs = MAX_LATE_MS
    return () => { host.lateShare = 0 }
  }

  /** The lists of a host show a run that has exited neither as running nor as ended for a moment. */
  private _delayLists (): () => void {
    const { host } = this._pickHost()
    host.maxListingMs = MAX_LISTING_MS
    return () => { host.maxListingMs = 0 }
  }

  private _pickHost (): IStandInHost {
    return pickRandom(this._random, this._platform.hosts)
  }
}
