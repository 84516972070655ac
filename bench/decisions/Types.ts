/**
 * The parts of a scenario of the decisions bench: hosts, arrivals and faults of hosts.
 */

import type { IEngineHost, IWorkItem } from '../../src/common/policy/Types.js'
import type { IResources } from '../../src/common/Types.js'

/** One item with its true run time and usage, which the engine does not know. */
export interface IActualWork {
  readonly item: IWorkItem
  readonly runMs: number
  /** The true usage, reported some time after the start; absent if it is as declared. */
  readonly usage?: IResources
}

export interface IArrival {
  readonly atMs: number
  readonly work: readonly IActualWork[]
  /** Set for an all-at-once job. */
  readonly groupId?: string
}

export interface IHostFault {
  readonly hostId: string
  readonly fromMs: number
  readonly untilMs: number
  readonly kind: 'failsAtOnce' | 'slow' | 'gone'
}

export interface ICancelWave {
  readonly atMs: number
  /** The share of the waiting items that is cancelled. */
  readonly share: number
}

export interface IScenario {
  readonly name: string
  readonly kind: 'slots' | 'resources'
  readonly hosts: readonly IEngineHost[]
  readonly arrivals: readonly IArrival[]
  readonly faults?: readonly IHostFault[]
  readonly cancelWave?: ICancelWave
  /** Whether refused work returns after the delay that the refusal gave. */
  readonly followsRetryAfter?: boolean
  /** The start of the measured time, after the hosts have filled. */
  readonly measuredFromMs: number
  readonly untilMs: number
  /** An admitted item that waits longer than this counts as starved. */
  readonly starvedAfterMs: number
  readonly seed: number
}
