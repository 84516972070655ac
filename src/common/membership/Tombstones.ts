/**
 * The last statement about each member that was forgotten. A process that was partitioned for a long time may still
 * report such a member as alive. Without the last statement, dead processes would return to the member lists, be
 * dialled and be suspected again. The number of entries is limited, as each takes about 100 bytes; the oldest are
 * dropped.
 */

import type { IMemberNews } from '../protocol/Types.js'

export class Tombstones {
  private readonly _news = new Map<string, IMemberNews>()

  public constructor (private readonly _maxEntries: number) {}

  public get (processId: string): IMemberNews | undefined {
    return this._news.get(processId)
  }

  public put (news: IMemberNews): void {
    const { processId, incarnation, sequence } = news
    this._news.delete(processId)
    this._news.set(processId, { processId, incarnation, sequence, state: 'dead' })
    if (this._news.size <= this._maxEntries) return
    const [oldest] = this._news.keys()
    if (oldest !== undefined) this._news.delete(oldest)
  }

  public delete (processId: string): void {
    this._news.delete(processId)
  }
}
