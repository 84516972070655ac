/**
 * Decides whether the owner asks its peers for relief, and which of them takes the cell over.
 *
 * Designed for two loads. On a fleet of unlike machines, the cell may belong to one that lacks what an owner needs, because no fitter one was
 * there when it was acquired; callers then wait for orders that queue on its link or processor. And a burst may be more than a fit machine
 * handles. A handover costs a takeover of 0.5 to 1.3 s in which nothing is placed, so it needs a much fitter machine. If the load is too much
 * for every machine, or all machines are alike, the cell stays where it is or moves rarely.
 */

import { ALIKE_RATIO, chooseFitter, MIN_FITNESS_RATIO } from './Successor.js'

import type { MonotonicMs } from '../Types.js'
import type { ISuccessorOffer } from './Successor.js'

/** No handover at the start of an ownership, in ms: by then the owner has read the jobs and its peers have reported their fitness. */
const MIN_OWNED_MS = 2000
/**
 * An owner that got the cell by relief doesn't hand it over because of overload for this long, in ms. If the load is more than any machine
 * handles, at most a tenth of the time is lost to takeovers.
 */
const RELIEVED_HOLD_MS = 15_000
/** Delay after a failed attempt, in ms: several times as long as the longest attempt. */
const RETRY_DELAY_MS = 5000

export interface IReliefInputs {
  /** The fitness of the owner's machine. */
  readonly machineFitness: number
  /** The same, halved during an overload and for some time after it. */
  readonly effectiveFitness: number
  /** Whether the owner has been overloaded for some time without interruption. */
  readonly isOverloaded: boolean
  readonly ownedMs: number
  /** Whether the previous owner handed the cell over because this one is fitter. */
  readonly isByRelief: boolean
  /** Whether the store confirms the owner. */
  readonly isConfirmed: boolean
  readonly isStopping: boolean
}

export class ReliefDecision {
  private _failedAtMs: MonotonicMs = -Infinity

  /** @param peerFitness the highest fitness that a peer has reported; 0 if none has */
  public shouldAsk (nowMs: MonotonicMs, inputs: IReliefInputs, peerFitness: number): boolean {
    return this._mayHandOver(nowMs, inputs) && peerFitness >= leastFitness(inputs)
  }

  /** Returns the peer that takes the cell over; undefined if the owner keeps it. */
  public choose (nowMs: MonotonicMs, inputs: IReliefInputs, offers: readonly ISuccessorOffer[]): ISuccessorOffer | undefined {
    return this._mayHandOver(nowMs, inputs) ? chooseFitter(offers, leastFitness(inputs)) : undefined
  }

  /** Records that no peer has taken the cell over. */
  public recordFailure (nowMs: MonotonicMs): void {
    this._failedAtMs = nowMs
  }

  private _mayHandOver (nowMs: MonotonicMs, { ownedMs, isConfirmed, isStopping }: IReliefInputs): boolean {
    return isConfirmed && !isStopping && ownedMs >= MIN_OWNED_MS && nowMs - this._failedAtMs >= RETRY_DELAY_MS
  }
}

/** The fitness that a peer must have; infinite if the owner needs no relief. */
function leastFitness ({ machineFitness, effectiveFitness, isOverloaded, isByRelief, ownedMs }: IReliefInputs): number {
  const isHeld = isByRelief && ownedMs < RELIEVED_HOLD_MS
  const isFit = machineFitness >= 1
  if (isFit && (!isOverloaded || isHeld)) return Infinity
  const wanted = (isHeld ? machineFitness : effectiveFitness) * MIN_FITNESS_RATIO
  // On an unfit machine, an overload is no reason to move the cell to another machine of the same kind.
  return isFit ? wanted : Math.max(wanted, machineFitness * ALIKE_RATIO)
}
