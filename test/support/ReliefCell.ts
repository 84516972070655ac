/**
 * A cell without a network: the real ownership, standby and relief of several processes, with links and a store that answer after a delay of
 * a clock that the test advances. Orders of the owner queue for its link, so that an owner on a narrow link is slow.
 */

import { err, ok, ResultAsync } from 'neverthrow'
import { OwnerRelief } from '../../src/cell/OwnerRelief.js'
import { registerOwnershipHandlers } from '../../src/cell/Handover.js'
import { OWNER_KEY } from '../../src/cell/Keys.js'
import { Ownership } from '../../src/cell/Ownership.js'
import { StandbySelector } from '../../src/cell/Standby.js'
import { ADMISSION_UPDATE_MS, AdmissionRate } from '../../src/common/cell/AdmissionRate.js'
import { unfitYieldMs } from '../../src/common/cell/OwnerFitness.js'
import { ManualClock } from '../../src/common/Clock.js'
import { AmbiguousError } from '../../src/common/Errors.js'
import { Counters } from '../../src/common/observability/Counters.js'
import { SilentLogger } from '../../src/common/observability/SilentLogger.js'
import { SeededRandom } from '../../src/common/Random.js'

import type { Result } from 'neverthrow'
import type { IMetadataItem, IMetadataStore, ITransaction } from '../../src/common/cell/Types.js'
import type { IPeerHandlers, IPeerHub } from '../../src/peer/Types.js'

const LINK_MS = 2
const STORE_MS = 4
/** A new owner reads the jobs before it orders anything. */
const LOAD_MS = 700
/** Bounds of the time that an owner's orders have queued, in ms: then they time out. */
const ORDER_TIMEOUT_MS = 2000
const MS_PER_S = 1000
const NEVER = new Promise<never>(() => {})

type Handler = (request: object) => Promise<object>

export interface IMachine {
  readonly fitness: number
  /** How many orders a second it can send. */
  readonly ordersPerS: number
  /** A process of an earlier version doesn't report its fitness. */
  readonly isEarlierVersion?: boolean
}

class SlowStore {
  public item: IMetadataItem | undefined
  public isAway = false
  private _revision = 10
  private readonly _leaseEndsAtMs = new Map<number, number>()
  private _watches: ((outcome: object) => void)[] = []

  public constructor (private readonly _clock: ManualClock) {
    _clock.every(10, () => {
      // A store that answers nobody ends no lease.
      if (this.isAway) return
      const leaseId = (this.item as { leaseId?: number } | undefined)?.leaseId ?? 0
      if (this.item !== undefined && (this._leaseEndsAtMs.get(leaseId) ?? 0) < _clock.nowMs()) this._put(undefined)
    })
  }

  public async range () {
    return await this._answer(() => ({ kind: 'read', value: { items: this.item === undefined ? [] : [this.item], revision: this._revision } }))
  }

  public async get () {
    return await this._answer(() => ({ kind: 'read', value: this.item }))
  }

  public async watch (_prefix: string, _revision: number, waitMs: number): Promise<object> {
    return await new Promise((resolve) => {
      this._watches.push(resolve)
      this._clock.after(waitMs, () => { if (!this.isAway) resolve({ kind: 'events', events: [], revision: this._revision }) })
    })
  }

  public async grantLease (ttlMs: number) {
    const leaseId = this._leaseEndsAtMs.size + 1
    this._leaseEndsAtMs.set(leaseId, this._clock.nowMs() + ttlMs)
    return await this._answer(() => ({ kind: 'read', value: leaseId }))
  }

  public async renewLease (leaseId: number) {
    return await this._answer(() => {
      if ((this._leaseEndsAtMs.get(leaseId) ?? 0) < this._clock.nowMs()) return 'gone'
      this._leaseEndsAtMs.set(leaseId, this._clock.nowMs() + MS_PER_S)
      return 'renewed'
    })
  }

  public async endLease (): Promise<void> {}

  public async commit ({ expect, puts: [put] }: ITransaction) {
    return await this._answer(() => {
      const isExpected = expect.every(({ revision }) => revision === (this.item?.revision ?? 0))
      if (!isExpected) return { kind: 'conflict', items: [] }
      this._put(put)
      return { kind: 'committed', revision: this._revision }
    })
  }

  private _put (put: ITransaction['puts'][number] | undefined): void {
    this._revision += 1
    this.item = put === undefined ? undefined : { ...put, revision: this._revision }
    const event = { key: OWNER_KEY, item: this.item, revision: this._revision }
    for (const resolve of this._watches.splice(0)) resolve({ kind: 'events', events: [event], revision: this._revision })
  }

  private async _answer<T> (run: () => T): Promise<T> {
    if (this.isAway) return await NEVER
    await new Promise<void>((resolve) => { this._clock.after(STORE_MS, resolve) })
    return run()
  }
}

export class ReliefProcess {
  public readonly ownership: Ownership
  public readonly relief: OwnerRelief
  public readonly counters = new Counters()
  public selector: StandbySelector | undefined
  public isAlive = true
  public isStopping = false
  /** Whether its answer to a request to take the cell over is lost. */
  public losesTakeoverAnswer = false
  public readonly handlers = new Map<string, Handler>()
  private _rate = new AdmissionRate()
  private _isOverloaded = false
  private _queuedOrders = 0
  private _ownedAtMs = Infinity

  public constructor (private readonly _cell: ReliefCell, public readonly id: string, public readonly machine: IMachine) {
    const { clock } = _cell
    const log = new SilentLogger()
    const hub = this._createHub()
    this.ownership = new Ownership(_cell.store as unknown as IMetadataStore, {
      self: { processId: id, incarnation: 1, region: 'r', failureDomain: 'd' },
      peerUrl: id,
      minLeaseMs: MS_PER_S,
      slowdown: 1,
      yieldMs: () => unfitYieldMs(machine.fitness)
    }, clock, new SeededRandom(1), log)
    this.relief = new OwnerRelief({
      hub,
      ownership: this.ownership,
      counters: this.counters,
      clock,
      log,
      machineFitness: () => machine.fitness,
      isOverloaded: () => this._isOverloaded,
      peerFitness: () => this.selector?.peerFitness.highest ?? 0,
      isStopping: () => this.isStopping
    })
    registerOwnershipHandlers(hub, this.ownership, this.relief)
    this.ownership.onOwned(() => {
      const { record } = this.ownership
      this.selector?.dispose()
      if (record !== undefined) this.selector = new StandbySelector(hub, record, machine.fitness, clock, log)
      this._rate = new AdmissionRate()
      this._queuedOrders = 0
      this._ownedAtMs = clock.nowMs()
    })
    this.ownership.onLost(() => { this.selector?.dispose() })
    clock.every(ADMISSION_UPDATE_MS, () => {
      if (this.ownership.isOwner) this._isOverloaded = this._rate.update(clock.nowMs(), { tasks: this._queuedOrders, urgentTasks: 0 })
    })
  }

  /** Lets the owner send its orders for this long. Returns how many of them are sent within the timeout. */
  public sendOrders (arrived: number, forMs: number): number {
    if (!this.isAlive || this._cell.clock.nowMs() - this._ownedAtMs < LOAD_MS) return 0
    this._queuedOrders += arrived
    const capacity = this.machine.ordersPerS * forMs / MS_PER_S
    const sent = Math.min(this._queuedOrders, capacity)
    const delayMs = this._queuedOrders / this.machine.ordersPerS * MS_PER_S
    this._queuedOrders = Math.min(this._queuedOrders - sent, this.machine.ordersPerS * ORDER_TIMEOUT_MS / MS_PER_S)
    this._rate.recordOrder(delayMs, true)
    return delayMs < this._cell.objectiveMs ? sent : 0
  }

  private _createHub (): IPeerHub {
    const peers = (): readonly ReliefProcess[] => this._cell.processes.filter((process) => process !== this && process.isAlive)
    const linkTo = (peer: ReliefProcess): object => ({
      peer: { processId: peer.id, incarnation: 1 },
      cast: () => {},
      call: (name: string, request: object, timeoutMs: number) => new ResultAsync(this._call(peer, name, request, timeoutMs))
    })
    const disposable = { dispose: () => {} }
    const handle: IPeerHandlers['handle'] = (name, handler) => {
      this.handlers.set(name, handler as unknown as Handler)
      return disposable
    }
    const link = (processId: string): object | undefined => peers().filter(({ id }) => id === processId).map(linkTo)[0]
    return { handle, link, links: () => peers().map(linkTo), onLink: () => disposable } as unknown as IPeerHub
  }

  private async _call (peer: ReliefProcess, name: string, request: object, timeoutMs: number): Promise<Result<object, AmbiguousError>> {
    this._cell.calls.push(`${name} ${this.id}>${peer.id}`)
    const { clock } = this._cell
    const timeout = new Promise<Result<object, AmbiguousError>>((resolve) => {
      clock.after(timeoutMs, () => { resolve(err(new AmbiguousError(name, peer.id, 'no answer'))) })
    })
    const answer = async (): Promise<Result<object, AmbiguousError>> => {
      await new Promise<void>((resolve) => { clock.after(LINK_MS, resolve) })
      const reply = peer.isAlive ? await (peer.handlers.get(name)?.(request) ?? NEVER) : await NEVER
      if (name === 'cellTakeOver' && peer.losesTakeoverAnswer) return await NEVER
      const { fitness, ...rest } = reply as { readonly fitness?: number }
      return ok(peer.machine.isEarlierVersion === true || fitness === undefined ? rest : { ...rest, fitness })
    }
    return await Promise.race([answer(), timeout])
  }
}

export class ReliefCell {
  public readonly clock = new ManualClock()
  public readonly store = new SlowStore(this.clock)
  /** All calls between the processes, in order. */
  public readonly calls: string[] = []
  public readonly processes: readonly ReliefProcess[]

  /** @param objectiveMs an order that is sent later than this is of no use to its caller */
  public constructor (machines: readonly IMachine[], public readonly objectiveMs = 300) {
    this.processes = machines.map((machine, number) => new ReliefProcess(this, `p${number}`, machine))
  }

  public process (number: number): ReliefProcess {
    const process = this.processes[number]
    if (process === undefined) throw new Error('no such process')
    return process
  }

  public get owner (): string | undefined {
    const { item } = this.store
    return item === undefined ? undefined : (JSON.parse(item.value) as { processId: string }).processId
  }

  public callsOf (name: string): readonly string[] {
    return this.calls.filter((call) => call.startsWith(`${name} `))
  }
}
