/**
 * News that must still be sent. The number of times that each item is sent grows with the logarithm of the member
 * count. Items with the most sends left come first. Members that the news has not reached get it when views are compared.
 */

import type { IMemberNews } from '../protocol/Types.js'

export class GossipQueue {
  private readonly _sendsLeft = new Map<string, number>()

  public get size (): number {
    return this._sendsLeft.size
  }

  /** Queues the current statement about a process and replaces an older entry. */
  public add (processId: string, sends: number): void {
    this._sendsLeft.delete(processId)
    this._sendsLeft.set(processId, sends)
  }

  /** Takes items for one cast, those with the most sends left first, until `addToCast` returns false for lack of room. */
  public takeForCast (
    statementOf: (processId: string) => IMemberNews | undefined,
    addToCast: (news: IMemberNews) => boolean
  ): readonly IMemberNews[] {
    const taken: IMemberNews[] = []
    const bySendsLeft = [...this._sendsLeft].sort(([, a], [, b]) => b - a)
    for (const [processId, sendsLeft] of bySendsLeft) {
      const news = statementOf(processId)
      if (news !== undefined && !addToCast(news)) break
      if (news !== undefined) taken.push(news)
      if (sendsLeft > 1 && news !== undefined) this._sendsLeft.set(processId, sendsLeft - 1)
      else this._sendsLeft.delete(processId)
    }
    return taken
  }
}
