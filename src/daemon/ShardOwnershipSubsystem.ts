/**
 * The parts of a scheduler process that own shards: its registration as a member, the host list, from which the shards of hosts
 * follow, the ownership records, and the claim log of its id shards.
 */

import { createHash32, ShardAssignment } from '../common/state/ShardAssignment.js'
import { loadChart } from '../runtime/ChartLoader.js'
import { HostListClient } from '../runtime/HostListClient.js'
import { HostDirectory } from '../scheduler/hosts/HostDirectory.js'
import { shardOfHost } from '../scheduler/hosts/Types.js'
import {
  ClaimService, DEFAULT_CLAIM_SERVICE_OPTIONS, DEFAULT_MEMBER_REGISTRATION_OPTIONS, DEFAULT_SHARD_OWNER_OPTIONS,
  idShardSpecs, MemberRegistration, ShardOwner
} from '../scheduler/ownership/index.js'

import type { IJobSpec } from '../common/protocol/Types.js'
import type { IShardSpec } from '../common/state/Types.js'
import type { IHostRecord } from '../runtime/Types.js'
import type { IShardEvents } from '../scheduler/hosts/Types.js'
import type { IShardAcquired, IShardLost } from '../scheduler/ownership/index.js'
import type { DaemonCore } from './DaemonCore.js'

/** How long releasing the shards waits for the store, in ms; if the store is unavailable, the lease expires instead. */
const RELEASE_TIMEOUT_MS = 5000
/** Two renewals may be lost before the lease expires. */
const RENEWALS_PER_LEASE = 3

export interface IIdShardListener {
  /** Takes over the accepted jobs of an id shard that this process has acquired. */
  takeOver (shardId: string, epoch: number, jobs: readonly IJobSpec[]): void
  /** Gives up an id shard that this process has lost. */
  removeShard (shardId: string): void
}

export class ShardOwnershipSubsystem {
  public readonly directory: HostDirectory
  public readonly registration: MemberRegistration
  public readonly claims: ClaimService
  public readonly owner: ShardOwner
  private _isStoreReachable = true

  private constructor (private readonly _core: DaemonCore, operatorUrl: string, assignment: ShardAssignment) {
    const { clock, log, settings } = _core
    const hostList = new HostListClient({ url: settings.hostList.url, callTimeoutMs: settings.store.callTimeoutMs })
    this.directory = new HostDirectory(hostList, clock, settings.hostList.pollMs, log)
    this.registration = this._createRegistration(operatorUrl)
    this.claims = this._createClaims()
    this.owner = this._createOwner(assignment)
  }

  public static async create (core: DaemonCore, operatorUrl: string): Promise<ShardOwnershipSubsystem> {
    return new ShardOwnershipSubsystem(core, operatorUrl, new ShardAssignment(await createHash32()))
  }

  public get isStoreReachable (): boolean {
    return this._isStoreReachable
  }

  /** Returns the events and calls through which host pools follow the ownership of shards. */
  public createShardEvents (): IShardEvents {
    return {
      onAcquired: this.owner.onAcquired,
      onLost: this.owner.onLost,
      reportFenced: (shardId, currentEpoch) => this.owner.reportFenced(shardId, currentEpoch),
      confirm: async (shardId, epoch) => await this.owner.confirm(shardId, epoch)
    }
  }

  /** Reports each id shard gained or lost to `listener`; calls `onChange` after each shard of any kind that is gained or lost. */
  public connect (listener: IIdShardListener, onChange: () => void): void {
    this.directory.onChange((hosts) => this.owner.setShards(rackShardsOf(hosts)))
    this.owner.setShards(idShardSpecs(this._core.settings.ids.idShards))
    this.owner.onAcquired(async (shard) => {
      if (await this._handleAcquired(shard, listener)) onChange()
    })
    this.owner.onLost((shard) => {
      this._handleLost(shard, listener)
      onChange()
    })
    this.owner.onReachable((isReachable) => { this._isStoreReachable = isReachable })
    this.claims.onLost(({ shardId, epoch }) => this.owner.reportFenced(shardId, epoch + 1))
  }

  public start (): void {
    this.directory.start()
    this.registration.start()
    this.owner.start()
  }

  /** Releases all shards and the registration, as far as the store answers in time. */
  public async release (): Promise<void> {
    const released = this.owner.releaseAll().then(async () => { await this.registration.stop() })
    await Promise.race([released, new Promise<void>((resolve) => { this._core.clock.after(RELEASE_TIMEOUT_MS, resolve) })])
  }

  private async _handleAcquired (shard: IShardAcquired, listener: IIdShardListener): Promise<boolean> {
    const { shardId, kind, epoch } = shard
    this._core.log.info('shard.acquired', { shardId, epoch })
    if (kind === 'ids') {
      const recovered = await this.claims.takeOver(shardId, epoch)
      if (recovered.isErr()) {
        this._core.log.error('shard.recoveryFailed', { shardId, step: recovered.error.step, peer: recovered.error.peer })
        return false
      }
      listener.takeOver(shardId, epoch, recovered.value)
    }
    this.owner.markReady(shardId, epoch)
    return true
  }

  private _handleLost ({ shardId, kind, epoch, reason }: IShardLost, listener: IIdShardListener): void {
    this._core.log.info('shard.lost', { shardId, epoch, reason })
    if (kind !== 'ids') return
    listener.removeShard(shardId)
    this.claims.removeShard(shardId)
  }

  private _createRegistration (operatorUrl: string): MemberRegistration {
    const { self, peerUrl, store, clock, settings } = this._core
    const { leaseTtlMs } = settings.store
    const entry = { ...self, role: 'scheduler' as const, peerUrl, operatorUrl, draining: false }
    const keepAliveMs = leaseTtlMs / RENEWALS_PER_LEASE
    return new MemberRegistration(store, clock, entry, { ...DEFAULT_MEMBER_REGISTRATION_OPTIONS, leaseTtlMs, keepAliveMs })
  }

  private _createClaims (): ClaimService {
    const { self, store, clock, settings } = this._core
    return new ClaimService(store, clock, () => this._core.createNonce(), {
      ...DEFAULT_CLAIM_SERVICE_OPTIONS,
      owner: self.processId,
      idShardCount: settings.ids.idShards,
      fleetWritesPerSecond: settings.ids.storeWritesPerSecond,
      retentionMs: settings.ids.claimRetentionMs
    })
  }

  private _createOwner (assignment: ShardAssignment): ShardOwner {
    const { store, clock } = this._core
    const chart = loadChart('shardOwnership')._unsafeUnwrap()
    const releaseHook = { beforeRelease: async (shardId: string) => { await this.claims.close(shardId) } }
    const nonce = (): string => this._core.createNonce()
    return new ShardOwner(store, clock, this.registration, chart, assignment, releaseHook, nonce, DEFAULT_SHARD_OWNER_OPTIONS)
  }
}

function rackShardsOf (hosts: readonly IHostRecord[]): readonly IShardSpec[] {
  const racks = new Map(hosts.map((host) => [shardOfHost(host), host]))
  return [...racks].map(([shardId, host]) => ({ shardId, kind: `${host.kind}s` as const, region: host.region }))
}
