/**
 * Sends load summaries of this scheduler to its peers: its load and the shards that it owns. Peers route work by them.
 */

import type { IEngineLoad } from '../common/policy/Types.js'
import type { ILoadSummary, IShardLoad } from '../common/protocol/Types.js'
import type { IDisposable, IProcessIdentity, ITimers } from '../common/Types.js'
import type { IPeerHub, IPeerLink } from '../peer/Types.js'

export interface ILoadSources {
  readonly requestLoad: () => IEngineLoad
  readonly taskLoad: () => IEngineLoad
  /** Owned shards with their epochs. */
  readonly shards: () => readonly Pick<IShardLoad, 'shardId' | 'kind' | 'epoch'>[]
  readonly draining: () => boolean
  readonly storeReachable: () => boolean
}

/**
 * Summaries cost traffic between every pair of processes. Peers in the same region get one every second; peers in other
 * regions need only the expected wait, to decide whether moving work pays off, and get every fourth. Changes that would
 * misroute work (a shard gained or lost, draining) are sent to all peers immediately.
 */
const PERIOD_MS = 1000
const ROUNDS_PER_REMOTE_SUMMARY = 4

const NO_RESOURCES = { cores: 0, memoryBytes: 0, accelerators: 0 }

export class LoadReporter implements IDisposable {
  private readonly _disposables: IDisposable[] = []
  private _round = 0

  public constructor (
    private readonly _self: IProcessIdentity,
    private readonly _hub: IPeerHub,
    timers: ITimers,
    private readonly _sources: ILoadSources,
    private readonly _onSummary: (summary: ILoadSummary) => void
  ) {
    this._disposables.push(timers.every(PERIOD_MS, () => this._sendPeriodically()))
    this._disposables.push(_hub.onLink((link) => link.cast('loadSummary', this.summary())))
  }

  /** Sends a summary to all peers immediately. */
  public announce (): void {
    this._send(this._hub.links())
  }

  public dispose (): void {
    for (const disposable of this._disposables) disposable.dispose()
  }

  public summary (): ILoadSummary {
    const requestLoad = this._sources.requestLoad()
    const taskLoad = this._sources.taskLoad()
    return {
      processId: this._self.processId,
      incarnation: this._self.incarnation,
      region: this._self.region,
      failureDomain: this._self.failureDomain,
      draining: this._sources.draining(),
      storeReachable: this._sources.storeReachable(),
      shards: this._shards(requestLoad, taskLoad),
      expectedWaitMs: requestLoad.expectedWaitMs,
      queued: requestLoad.queued
    }
  }

  private _sendPeriodically (): void {
    this._round += 1
    const includesRemote = this._round % ROUNDS_PER_REMOTE_SUMMARY === 0
    this._send(this._hub.links().filter((link) => includesRemote || link.peer.region === this._self.region))
  }

  private _send (links: readonly IPeerLink[]): void {
    const summary = this.summary()
    this._onSummary(summary)
    for (const link of links) link.cast('loadSummary', summary)
  }

  /** Free capacity is known per scheduler, not per shard: the first shard of each kind reports it for all shards of that kind. */
  private _shards (requestLoad: IEngineLoad, taskLoad: IEngineLoad): readonly IShardLoad[] {
    const reportedKinds = new Set<string>()
    return this._sources.shards().map((shard) => {
      const load = shard.kind === 'runners' ? requestLoad : taskLoad
      const reportsLoad = shard.kind !== 'ids' && !reportedKinds.has(shard.kind)
      reportedKinds.add(shard.kind)
      return reportsLoad ? withLoad(shard, load) : { ...shard, freeSlots: 0, totalSlots: 0, free: NO_RESOURCES, largestFree: NO_RESOURCES }
    })
  }
}

function withLoad (shard: Pick<IShardLoad, 'shardId' | 'kind' | 'epoch'>, load: IEngineLoad): IShardLoad {
  const isRunners = shard.kind === 'runners'
  return {
    ...shard,
    freeSlots: isRunners ? load.capacity.cores - load.used.cores : 0,
    totalSlots: isRunners ? load.capacity.cores : 0,
    free: {
      cores: load.capacity.cores - load.used.cores,
      memoryBytes: load.capacity.memoryBytes - load.used.memoryBytes,
      accelerators: load.capacity.accelerators - load.used.accelerators
    },
    largestFree: load.largestFree
  }
}
