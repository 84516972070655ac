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
  /** The effective fitness of the process; undefined if it doesn't report it at the moment, or didn't answer. */
  readonly fitness?: number
}

/**
 * Offers that differ by less than this count as equal, in ms: a store in the same region answers within 25 ms, and a process
 * waits for four times its response time.
 */
const MAX_YIELD_DIFFERENCE_MS = 100

/** How many times as fit another process must be for a change of the owner or the standby: the change has a cost, and less doesn't pay for it. */
export const MIN_FITNESS_RATIO = 1.5
/** Processes whose fitness differs by less than this factor count as alike. */
export const ALIKE_RATIO = 1.1

export function chooseSuccessor (offers: readonly ISuccessorOffer[]): ISuccessorOffer | undefined {
  const willing = offers.filter(({ isWilling }) => isWilling)
  const leastMs = Math.min(...willing.map(({ yieldMs }) => yieldMs))
  return willing.filter(({ yieldMs }) => yieldMs - leastMs < MAX_YIELD_DIFFERENCE_MS).sort((a, b) => b.incarnation - a.incarnation)[0]
}

/** Chooses the successor among the fittest of the willing processes that have at least the given fitness. */
export function chooseFitter (offers: readonly ISuccessorOffer[], leastFitness: number): ISuccessorOffer | undefined {
  const fit = offers.filter(({ isWilling, fitness = 0 }) => isWilling && fitness > 0 && fitness >= leastFitness)
  const highest = Math.max(...fit.map(({ fitness = 0 }) => fitness))
  return chooseSuccessor(fit.filter(({ fitness = 0 }) => fitness * ALIKE_RATIO > highest))
}
