/**
 * The waiting work of the naive engine: one queue for each rank, in order of arrival; lower ranks go first.
 */

import { Heap } from 'heap-js'

import type { MonotonicMs } from '../Types.js'
import type { IWorkItem } from './Types.js'

/** One item, or the items of an all-at-once job. Empty once it was removed from its queue. */
interface INaiveEntry {
  items: readonly IWorkItem[]
  readonly deadlineAtMs: MonotonicMs
}

/** Entries in order of arrival; those before `head` have been removed. */
interface IRankQueue {
  entries: INaiveEntry[]
  head: number
}

/** Removed entries are cut off in batches of this size, since the cost of a cut grows with the length of the queue. */
const TRIM_AFTER_ENTRIES = 10_000

export class NaiveQueue {
  private readonly _queues: (IRankQueue | undefined)[] = []
  private readonly _entryByItemId = new Map<string, INaiveEntry>()
  private readonly _byDeadline = new Heap<INaiveEntry>((a, b) => a.deadlineAtMs - b.deadlineAtMs)

  public get itemCount (): number {
    return this._entryByItemId.size
  }

  public add (rank: number, items: readonly IWorkItem[]): void {
    const deadlineAtMs = items.reduce((earliest, item) => Math.min(earliest, item.deadlineAtMs), Infinity)
    const entry: INaiveEntry = { items, deadlineAtMs }
    const queue = this._queues[rank] ?? { entries: [], head: 0 }
    this._queues[rank] = queue
    queue.entries.push(entry)
    for (const item of items) this._entryByItemId.set(item.id, entry)
    if (deadlineAtMs < Infinity) this._byDeadline.push(entry)
  }

  public cancel (itemId: string): boolean {
    const entry = this._entryByItemId.get(itemId)
    if (entry === undefined) return false
    entry.items = entry.items.filter((item) => item.id !== itemId)
    return this._entryByItemId.delete(itemId)
  }

  /** The items of the first entry; none when nothing waits. */
  public first (): readonly IWorkItem[] {
    return this._firstEntry()?.items ?? []
  }

  public removeFirst (): void {
    const entry = this._firstEntry()
    if (entry !== undefined) this._removeEntry(entry)
  }

  /** Removes and returns the items of one entry whose deadline has passed. */
  public removeExpired (nowMs: MonotonicMs): readonly IWorkItem[] {
    if (this.earliestDeadlineAtMs() > nowMs) return []
    const late = this._byDeadline.pop()
    if (late === undefined) return []
    const { items } = late
    this._removeEntry(late)
    return items
  }

  public earliestDeadlineAtMs (): MonotonicMs {
    while (this._byDeadline.peek()?.items.length === 0) this._byDeadline.pop()
    return this._byDeadline.peek()?.deadlineAtMs ?? Infinity
  }

  private _firstEntry (): INaiveEntry | undefined {
    for (const queue of this._queues) {
      const first = queue === undefined ? undefined : firstEntryOf(queue)
      if (first !== undefined) return first
    }
    return undefined
  }

  private _removeEntry (entry: INaiveEntry): void {
    for (const item of entry.items) this._entryByItemId.delete(item.id)
    entry.items = []
  }
}

function firstEntryOf (queue: IRankQueue): INaiveEntry | undefined {
  while (queue.entries[queue.head]?.items.length === 0) queue.head += 1
  if (queue.head > TRIM_AFTER_ENTRIES) {
    queue.entries = queue.entries.slice(queue.head)
    queue.head = 0
  }
  return queue.entries[queue.head]
}
