/**
 * Chooses the process that takes the cell over from an owner that stops.
 *
 * It is designed for a rolling restart of all machines. If any other process took over, the cell would change owners with nearly
 * every machine; the process that started last will be the last to be stopped again.
 */

export interface ISuccessorOffer {
  readonly processId: string
  readonly peerUrl: string
  /** The start time of the process. */
  readonly incarnation: number
  readonly isWilling: boolean
  /** How long it would wait for other candidates: longer the farther the store and the weaker the machine. */
  readonly yieldMs: number
}

/**
 * Offers that differ by less than this count as equal, in ms: a store in the same region answers within 25 ms, and a process
 * waits for four times its response time.
 */
const MAX_YIELD_DIFFERENCE_MS = 100

export function chooseSuccessor (offers: readonly ISuccessorOffer[]): ISuccessorOffer | undefined {
  const willing = offers.filter(({ isWilling }) => isWilling)
  const leastMs = Math.min(...willing.map(({ yieldMs }) => yieldMs))
  return willing.filter(({ yieldMs }) => yieldMs - leastMs < MAX_YIELD_DIFFERENCE_MS).sort((a, b) => b.incarnation - a.incarnation)[0]
}
