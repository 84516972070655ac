/**
 * Which scheduler is asked to place a task or an all-at-once job, by the load that each tells.
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

const NOTHING: IResources = { cores: 0, memoryBytes: 0, accelerators: 0 }

export class SchedulerChoice {
  /** What was sent to each scheduler since the summary that we have of it. */
  private readonly _sent = new WeakMap<ILoadSummary, IResources>()

  public constructor (
    private readonly _region: string,
    private readonly _shards: IShardView,
    private readonly _hosts: () => readonly IHostRecord[],
    private readonly _random: IRandom
  ) {}

  /**
   * A scheduler for one task.
   *
   * Made for bursts of tasks between two summaries, a second or more apart. Sent all to the scheduler with most room,
   * they would queue there while others idle: one sees long waits with free hosts. So what was sent since counts as
   * used, and of those with room the better of two drawn at random is taken. Those of our own region go first, because
   * messages to other regions are paid for by volume. When nobody has room, the one with most left is asked to queue it.
   */
  public forTask (resources: IResources, excluded: ReadonlySet<string> = new Set()): string | undefined {
    const candidates = this._candidates().filter(({ summary }) => !excluded.has(summary.processId))
    const withRoom = candidates.filter((candidate) => fits(resources, candidate.largestFree) && fits(resources, candidate.free))
    const near = withRoom.filter(({ summary }) => summary.region === this._region)
    const chosen = this._betterOfTwo(near) ?? this._betterOfTwo(withRoom) ?? mostFree(candidates)
    if (chosen !== undefined) this._noteSent(chosen.summary, resources)
    return chosen?.summary.processId
  }

  /** Whether some scheduler other than `processId` has room for it now, and `processId` has not. */
  public hasRoomElsewhere (resources: IResources, processId: string): boolean {
    const candidates = this._candidates()
    const isRoomAt = (candidate: ICandidate): boolean => fits(resources, candidate.largestFree) && fits(resources, candidate.free)
    if (candidates.some((candidate) => candidate.summary.processId === processId && isRoomAt(candidate))) return false
    return candidates.some((candidate) => candidate.summary.processId !== processId && isRoomAt(candidate))
  }

  /** A scheduler that has room for all tasks now, or else one whose hosts could hold them all. */
  public forGroup (tasks: readonly IResources[], excluded: ReadonlySet<string> = new Set()): string | undefined {
    const total = tasks.reduce(add, NOTHING)
    const candidates = this._candidates().filter(({ summary }) => !excluded.has(summary.processId))
    const now = candidates.filter(({ free, largestFree }) => fits(total, free) && tasks.every((task) => fits(task, largestFree)))
    const ever = candidates.filter(({ summary }) => fits(total, this._capacityOf(summary)))
    const chosen = this._betterOfTwo(now) ?? mostFree(ever)
    if (chosen !== undefined) this._noteSent(chosen.summary, total)
    return chosen?.summary.processId
  }

  /** All that own workers, for an all-at-once job that no one of them can hold. */
  public withWorkers (): readonly string[] {
    return this._candidates().map(({ summary }) => summary.processId)
  }

  private _candidates (): readonly ICandidate[] {
    return this._shards.summaries().filter((summary) => !summary.draining && summary.shards.some((shard) => shard.kind === 'workers'))
      .map((summary) => this._toCandidate(summary))
  }

  private _toCandidate (summary: ILoadSummary): ICandidate {
    const workers = summary.shards.filter((shard) => shard.kind === 'workers')
    const free = workers.map((shard) => shard.free).reduce(add, NOTHING)
    const largestFree = workers.map((shard) => shard.largestFree).reduce(larger, NOTHING)
    return { summary, free: subtract(free, this._sent.get(summary) ?? NOTHING), largestFree }
  }

  private _capacityOf (summary: ILoadSummary): IResources {
    const owned = new Set(summary.shards.map((shard) => shard.shardId))
    return this._hosts().filter((host) => host.kind === 'worker' && host.state === 'live' && owned.has(shardOfHost(host)))
      .map((host) => host.capacity).reduce(add, NOTHING)
  }

  private _betterOfTwo (candidates: readonly ICandidate[]): ICandidate | undefined {
    const first = this._draw(candidates)
    const second = this._draw(candidates)
    if (first === undefined || second === undefined) return first
    return second.free.cores > first.free.cores ? second : first
  }

  private _draw (candidates: readonly ICandidate[]): ICandidate | undefined {
    return candidates[Math.floor(this._random.next() * candidates.length)]
  }

  private _noteSent (summary: ILoadSummary, resources: IResources): void {
    this._sent.set(summary, add(this._sent.get(summary) ?? NOTHING, resources))
  }
}

/** Whether `resources` fit into `room`. */
export function fits (resources: IResources, room: IResources): boolean {
  return resources.cores <= room.cores && resources.memoryBytes <= room.memoryBytes && resources.accelerators <= room.accelerators
}

export function add (a: IResources, b: IResources): IResources {
  return { cores: a.cores + b.cores, memoryBytes: a.memoryBytes + b.memoryBytes, accelerators: a.accelerators + b.accelerators }
}

function subtract (a: IResources, b: IResources): IResources {
  return { cores: a.cores - b.cores, memoryBytes: a.memoryBytes - b.memoryBytes, accelerators: a.accelerators - b.accelerators }
}

function larger (a: IResources, b: IResources): IResources {
  return b.cores > a.cores ? b : a
}

function mostFree (candidates: readonly ICandidate[]): ICandidate | undefined {
  return candidates.reduce<ICandidate | undefined>((best, next) => best === undefined || next.free.cores > best.free.cores ? next : best, undefined)
}
