/**
 * The last word on members that were forgotten. A process that was cut off for long may still pass on that such a
 * member is alive; without its last word one would see dead processes return to the lists, be dialled and be
 * suspected again. The oldest are dropped beyond a bound: about 100 bytes each.
 */

import type { IMemberNews } from '../protocol/Types.js'

export class Tombstones {
  private readonly _news = new Map<string, IMemberNews>()

  public constructor (private readonly _max: number) {}

  public get (processId: string): IMemberNews | undefined {
    return this._news.get(processId)
  }

  public put (news: IMemberNews): void {
    const { processId, incarnation, sequence } = news
    this._news.delete(processId)
    this._news.set(processId, { processId, incarnation, sequence, state: 'dead' })
    if (this._news.size <= this._max) return
    const [oldest] = this._news.keys()
    if (oldest !== undefined) this._news.delete(oldest)
  }

  public delete (processId: string): void {
    this._news.delete(processId)
  }
}
