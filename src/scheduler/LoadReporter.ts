/**
 * Tells those that route work to this scheduler how loaded it is and which shards it owns.
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
 * Summaries cost bytes for each pair of processes, so they go to the own region once a second and to other regions,
 * where only the wait worth a move matters, every fourth time. News that would send work to the wrong place (a shard
 * gained or lost, draining) goes to everybody at once.
 */
const PERIOD_MS = 1000
const REMOTE_EVERY = 4

const NOTHING = { cores: 0, memoryBytes: 0, accelerators: 0 }

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
    this._disposables.push(timers.every(PERIOD_MS, () => this._periodic()))
    this._disposables.push(_hub.onLink((link) => link.cast('loadSummary', this.summary())))
  }

  /** Tells everybody now. */
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

  private _periodic (): void {
    this._round += 1
    const everybody = this._round % REMOTE_EVERY === 0
    this._send(this._hub.links().filter((link) => everybody || link.peer.region === this._self.region))
  }

  private _send (links: readonly IPeerLink[]): void {
    const summary = this.summary()
    this._onSummary(summary)
    for (const link of links) link.cast('loadSummary', summary)
  }

  /** Free places are a scheduler's, not a shard's: the first shard of a kind carries them for all. */
  private _shards (requestLoad: IEngineLoad, taskLoad: IEngineLoad): readonly IShardLoad[] {
    const told = new Set<string>()
    return this._sources.shards().map((shard) => {
      const load = shard.kind === 'runners' ? requestLoad : taskLoad
      const carries = shard.kind !== 'ids' && !told.has(shard.kind)
      told.add(shard.kind)
      return carries ? withLoad(shard, load) : { ...shard, freeSlots: 0, totalSlots: 0, free: NOTHING, largestFree: NOTHING }
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
