/**
 * Chooses the scheduler that is asked to place a task or an all-at-once job, by the schedulers' load summaries.
 */

import { shardOfHost } from '../hosts/Types.js'

import type { ILoadSummary } from '../../common/protocol/Types.js'
import type { IRandom, IResources } from '../../common/Types.js'
import type { IHostRecord } from '../../runtime/Types.js'
import type { IShardView } from './Types.js'

interface ICandidate {
  readonly summary: ILoadSummary
  readonly free: IResources
  readonly largestFree: IResources
}

const NO_RESOURCES: IResources = { cores: 0, memoryBytes: 0, accelerators: 0 }

export class SchedulerChoice {
  /** Resources of the tasks that were sent to each scheduler since its newest summary. */
  private readonly _sentSinceSummary = new WeakMap<ILoadSummary, IResources>()

  public constructor (
    private readonly _region: string,
    private readonly _shards: IShardView,
    private readonly _hosts: () => readonly IHostRecord[],
    private readonly _random: IRandom
  ) {}

  /**
   * Chooses a scheduler for one task.
   *
   * Load summaries are a second or more apart. If all tasks of a burst between two summaries went to the scheduler with the
   * most room, they would queue there while hosts of other schedulers are idle. So tasks sent since the summary count as
   * used resources, and the better of two randomly drawn schedulers with room is chosen. Schedulers in this region come
   * first, because traffic to other regions is paid by volume. If no scheduler has room, the one with the most free
   * resources queues the task.
   */
  public chooseForTask (resources: IResources, excluded: ReadonlySet<string> = new Set()): string | undefined {
    const candidates = this._allCandidates().filter(({ summary }) => !excluded.has(summary.processId))
    const withRoom = candidates.filter((candidate) => fits(resources, candidate.largestFree) && fits(resources, candidate.free))
    const inRegion = withRoom.filter(({ summary }) => summary.region === this._region)
    const chosen = this._betterOfTwo(inRegion) ?? this._betterOfTwo(withRoom) ?? withMostFreeCores(candidates)
    if (chosen !== undefined) this._recordSent(chosen.summary, resources)
    return chosen?.summary.processId
  }

  /** Whether another scheduler than `processId` has room for the resources now, and `processId` hasn't. */
  public hasRoomElsewhere (resources: IResources, processId: string): boolean {
    const candidates = this._allCandidates()
    const hasRoom = (candidate: ICandidate): boolean => fits(resources, candidate.largestFree) && fits(resources, candidate.free)
    if (candidates.some((candidate) => candidate.summary.processId === processId && hasRoom(candidate))) return false
    return candidates.some((candidate) => candidate.summary.processId !== processId && hasRoom(candidate))
  }

  /** Chooses a scheduler that has room for all tasks now, or else one whose hosts are large enough for all of them. */
  public chooseForGroup (tasks: readonly IResources[], excluded: ReadonlySet<string> = new Set()): string | undefined {
    const total = tasks.reduce(addResources, NO_RESOURCES)
    const candidates = this._allCandidates().filter(({ summary }) => !excluded.has(summary.processId))
    const withRoom = candidates.filter(({ free, largestFree }) => fits(total, free) && tasks.every((task) => fits(task, largestFree)))
    const largeEnough = candidates.filter(({ summary }) => fits(total, this._capacityOf(summary)))
    const chosen = this._betterOfTwo(withRoom) ?? withMostFreeCores(largeEnough)
    if (chosen !== undefined) this._recordSent(chosen.summary, total)
    return chosen?.summary.processId
  }

  /** All schedulers that own workers, for an all-at-once job that is too large for any one of them. */
  public schedulersWithWorkers (): readonly string[] {
    return this._allCandidates().map(({ summary }) => summary.processId)
  }

  private _allCandidates (): readonly ICandidate[] {
    return this._shards.summaries().filter((summary) => !summary.draining && summary.shards.some((shard) => shard.kind === 'workers'))
      .map((summary) => this._toCandidate(summary))
  }

  private _toCandidate (summary: ILoadSummary): ICandidate {
    const workers = summary.shards.filter((shard) => shard.kind === 'workers')
    const free = workers.map((shard) => shard.free).reduce(addResources, NO_RESOURCES)
    const largestFree = workers.map((shard) => shard.largestFree).reduce(withMoreCores, NO_RESOURCES)
    return { summary, free: subtractResources(free, this._sentSinceSummary.get(summary) ?? NO_RESOURCES), largestFree }
  }

  private _capacityOf (summary: ILoadSummary): IResources {
    const owned = new Set(summary.shards.map((shard) => shard.shardId))
    return this._hosts().filter((host) => host.kind === 'worker' && host.state === 'live' && owned.has(shardOfHost(host)))
      .map((host) => host.capacity).reduce(addResources, NO_RESOURCES)
  }

  private _betterOfTwo (candidates: readonly ICandidate[]): ICandidate | undefined {
    const first = this._drawRandom(candidates)
    const second = this._drawRandom(candidates)
    if (first === undefined || second === undefined) return first
    return second.free.cores > first.free.cores ? second : first
  }

  private _drawRandom (candidates: readonly ICandidate[]): ICandidate | undefined {
    return candidates[Math.floor(this._random.next() * candidates.length)]
  }

  private _recordSent (summary: ILoadSummary, resources: IResources): void {
    this._sentSinceSummary.set(summary, addResources(this._sentSinceSummary.get(summary) ?? NO_RESOURCES, resources))
  }
}

/** Whether `resources` fit into `free`. */
export function fits (resources: IResources, free: IResources): boolean {
  return resources.cores <= free.cores && resources.memoryBytes <= free.memoryBytes && resources.accelerators <= free.accelerators
}

export function addResources (a: IResources, b: IResources): IResources {
  return { cores: a.cores + b.cores, memoryBytes: a.memoryBytes + b.memoryBytes, accelerators: a.accelerators + b.accelerators }
}

function subtractResources (a: IResources, b: IResources): IResources {
  return { cores: a.cores - b.cores, memoryBytes: a.memoryBytes - b.memoryBytes, accelerators: a.accelerators - b.accelerators }
}

function withMoreCores (a: IResources, b: IResources): IResources {
  return b.cores > a.cores ? b : a
}

function withMostFreeCores (candidates: readonly ICandidate[]): ICandidate | undefined {
  return candidates.reduce<ICandidate | undefined>((best, next) => best === undefined || next.free.cores > best.free.cores ? next : best, undefined)
}
