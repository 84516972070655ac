/**
 * What a scenario of the decisions bench consists of: hosts, arrivals and things that happen to hosts.
 */

import type { IEngineHost, IWorkItem } from '../../src/common/policy/Types.js'
import type { IResources } from '../../src/common/Types.js'

/** One item and what it will truly do, which the engine doesn't know. */
export interface ITrueWork {
  readonly item: IWorkItem
  readonly runMs: number
  /** What it truly uses, reported a while after its start. Absent: as declared. */
  readonly usage?: IResources
}

export interface IArrival {
  readonly atMs: number
  readonly work: readonly ITrueWork[]
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
  /** The share of what waits then that is cancelled. */
  readonly share: number
}

export interface IScenario {
  readonly name: string
  readonly kind: 'slots' | 'resources'
  readonly hosts: readonly IEngineHost[]
  readonly arrivals: readonly IArrival[]
  readonly faults?: readonly IHostFault[]
  readonly cancelWave?: ICancelWave
  /** The refused come back when they were told to. */
  readonly followsRetryAfter?: boolean
  /** Use is measured from here on, when the hosts have filled. */
  readonly measuredFromMs: number
  readonly untilMs: number
  /** An admitted item that waits longer than this counts as starved. */
  readonly starvedAfterMs: number
  readonly seed: number
}
