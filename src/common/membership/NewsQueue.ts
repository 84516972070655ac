/**
 * News still to be passed on. Each item goes out a number of times that grows with the logarithm of the member
 * count, the least often sent first; then comparing views finds whoever was missed.
 */

import type { IMemberNews } from '../protocol/Types.js'

export class NewsQueue {
  private readonly _sendsLeft = new Map<string, number>()

  public get size (): number {
    return this._sendsLeft.size
  }

  /** Queues the current statement about a process, in place of an older one. */
  public add (processId: string, sends: number): void {
    this._sendsLeft.delete(processId)
    this._sendsLeft.set(processId, sends)
  }

  /** Takes items for one cast, the freshest first, as long as `takeBytes` has room for them. */
  public take (standing: (processId: string) => IMemberNews | undefined, takeBytes: (news: IMemberNews) => boolean): readonly IMemberNews[] {
    const taken: IMemberNews[] = []
    const bySendsLeft = [...this._sendsLeft].sort(([, a], [, b]) => b - a)
    for (const [processId, sendsLeft] of bySendsLeft) {
      const news = standing(processId)
      if (news !== undefined && !takeBytes(news)) break
      if (news !== undefined) taken.push(news)
      if (sendsLeft > 1 && news !== undefined) this._sendsLeft.set(processId, sendsLeft - 1)
      else this._sendsLeft.delete(processId)
    }
    return taken
  }
}
