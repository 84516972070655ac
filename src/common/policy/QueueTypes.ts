/**
 * What the queue of a profile consists of: entries in lines of callers, lines in lanes.
 */

import type BTreeModule from 'sorted-btree'
import type { IResources, MonotonicMs } from '../Types.js'
import type { ProfileQueue } from './ProfileQueue.js'
import type { IWorkItem } from './Types.js'

type SortedSet<T> = BTreeModule.default<T, undefined>

export interface IQueueEntry {
  readonly item: IWorkItem
  /** What it is expected to use: as declared, or more where its service was seen to use more. */
  readonly need: IResources
  readonly queue: ProfileQueue
  readonly line: ICallerLine
  /** The order among the caller's own items: the deadline of urgent ones, the arrival of others. */
  readonly orderMs: MonotonicMs
  readonly sequence: number
  /** The estimated share of the capacity it will take times its run time. */
  readonly costMs: number
  /** After this it can't end before its deadline. */
  readonly latestStartAtMs: MonotonicMs
}

/** What one caller of this profile has had. */
export interface ICallerShare {
  readonly caller: string
  /** The cost it was served, on the profile's virtual time: the lowest is served next. */
  virtualMs: number
  queuedCount: number
  queuedCostMs: number
  runningCount: number
  readonly lines: Set<ICallerLine>
}

export interface ICallerLine {
  readonly share: ICallerShare
  readonly lane: ILane
  readonly id: number
  readonly entries: SortedSet<IQueueEntry>
}

/** Items of one lane need about the same room and the same quota: what blocks the first blocks the rest. */
export interface ILaneKey {
  /** Names the room needed; the same in every profile. */
  readonly shape: string
  /** Whose quota is charged. */
  readonly team: string
}

export interface ILane extends ILaneKey {
  readonly key: string
  readonly lines: SortedSet<ICallerLine>
  readonly lineOf: Map<string, ICallerLine>
}

export type LaneFilter = (lane: ILaneKey) => boolean

export interface IQueueRequest {
  readonly item: IWorkItem
  readonly need: IResources
  readonly lane: ILaneKey
  readonly costMs: number
  readonly latestStartAtMs: MonotonicMs
}
