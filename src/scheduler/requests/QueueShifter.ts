/**
 * Decides which queued requests are handed back, so that their gateways send them to a scheduler with free slots.
 */

import { ShiftPolicy } from '../../common/policy/ShiftPolicy.js'

import type { IEngineLoad, IWorkItem } from '../../common/policy/Types.js'
import type { ILoadSummary } from '../../common/protocol/Types.js'
import type { IClock, IProcessIdentity, IRandom } from '../../common/Types.js'

export class QueueShifter {
  private readonly _policy: ShiftPolicy

  public constructor (private readonly _self: IProcessIdentity, private readonly _clock: IClock, random: IRandom) {
    this._policy = new ShiftPolicy(random)
  }

  /** Stores another scheduler's newest load summary. */
  public putSummary (summary: ILoadSummary): void {
    const { processId, region } = summary
    if (processId === this._self.processId) return
    if (summary.draining) this._policy.remove(processId)
    else this._policy.putSummary({ schedulerId: processId, region, load: requestLoadOf(summary), seenAtMs: this._clock.nowMs() })
  }

  public forget (processId: string): void {
    this._policy.remove(processId)
  }

  /** Whether a queued request would start sooner at another scheduler; a request that has been moved before stays. */
  public shouldMove (item: IWorkItem, ownWaitMs: number, hops: number): boolean {
    const request = { item, ownRegion: this._self.region, ownWaitMs, hasMoved: hops > 0, nowMs: this._clock.nowMs() }
    return this._policy.choose(request) !== undefined
  }
}

function requestLoadOf (summary: ILoadSummary): IEngineLoad {
  const runners = summary.shards.filter((shard) => shard.kind === 'runners')
  const totalSlots = runners.reduce((sum, shard) => sum + shard.totalSlots, 0)
  const freeSlots = runners.reduce((sum, shard) => sum + shard.freeSlots, 0)
  const largestSlots = Math.max(0, ...runners.map((shard) => shard.largestFree.cores))
  const slots = (cores: number): IEngineLoad['capacity'] => ({ cores, memoryBytes: 0, accelerators: 0 })
  return {
    queued: summary.queued,
    running: totalSlots - freeSlots,
    capacity: slots(totalSlots),
    used: slots(totalSlots - freeSlots),
    largestFree: slots(largestSlots),
    expectedWaitMs: summary.expectedWaitMs
  }
}
