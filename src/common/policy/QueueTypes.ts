/**
 * The types of a profile's queue. It consists of lanes, a lane holds one queue for each caller, and a caller's queue
 * holds entries.
 */

import type BTreeModule from 'sorted-btree'
import type { IResources, MonotonicMs } from '../Types.js'
import type { ProfileQueue } from './ProfileQueue.js'
import type { IWorkItem } from './Types.js'

type SortedSet<T> = BTreeModule.default<T, undefined>

export interface IQueueEntry {
  readonly item: IWorkItem
  /** The expected usage: as declared, or more where the service was seen to use more. */
  readonly need: IResources
  readonly queue: ProfileQueue
  readonly callerQueue: ICallerQueue
  /** The sort key among the caller's own items: the deadline of urgent items, the arrival time of others. */
  readonly orderMs: MonotonicMs
  readonly sequence: number
  /** The estimated share of the capacity that the item takes, times its run time. */
  readonly costMs: number
  /** An item that starts later than this can't end before its deadline. */
  readonly latestStartAtMs: MonotonicMs
}

/** The state of one caller in one profile. */
export interface ICallerState {
  readonly caller: string
  /** The cost charged so far, on the profile's virtual time: the caller with the lowest value is served next. */
  virtualMs: number
  queuedCount: number
  queuedCostMs: number
  runningCount: number
  readonly queues: Set<ICallerQueue>
}

export interface ICallerQueue {
  readonly owner: ICallerState
  readonly lane: ILane
  readonly id: number
  readonly entries: SortedSet<IQueueEntry>
}

/** A lane groups items that need about the same capacity and the same quota: what blocks the first blocks the rest. */
export interface ILaneKey {
  /** Identifies the needed capacity; the same in every profile. */
  readonly shape: string
  /** The team whose quota is charged. */
  readonly team: string
}

export interface ILane extends ILaneKey {
  readonly key: string
  readonly callerQueues: SortedSet<ICallerQueue>
  readonly queueByCaller: Map<string, ICallerQueue>
}

export type LaneFilter = (lane: ILaneKey) => boolean

export interface IQueueRequest {
  readonly item: IWorkItem
  readonly need: IResources
  readonly lane: ILaneKey
  readonly costMs: number
  readonly latestStartAtMs: MonotonicMs
}
