/**
 * The fitness of the linked processes, as they last reported it to the owner.
 *
 * It tells an owner whether it is of use to ask the peers for relief. In a cell of machines that are all alike it never is, and such an owner
 * sends no more requests than one that doesn't know of fitness.
 */

import { MIN_FITNESS_RATIO } from './Successor.js'

import type { ISuccessorOffer } from './Successor.js'

export interface IPeerIncarnation {
  readonly processId: string
  readonly incarnation: number
}

export class PeerFitness {
  private readonly _reports = new Map<string, { readonly incarnation: number, readonly fitness: number }>()

  /** Records the offer of a process. One that didn't answer, or reports no fitness at the moment, has to be asked again. */
  public record ({ processId, incarnation, fitness }: Pick<ISuccessorOffer, 'processId' | 'incarnation' | 'fitness'>): void {
    if (fitness === undefined) this._reports.delete(processId)
    else this._reports.set(processId, { incarnation, fitness })
  }

  /** Removes the processes that are no longer linked. */
  public retain (peers: readonly IPeerIncarnation[]): void {
    const linked = new Map(peers.map(({ processId, incarnation }) => [processId, incarnation]))
    for (const [processId, { incarnation }] of this._reports) if (linked.get(processId) !== incarnation) this._reports.delete(processId)
  }

  /** Whether all of these processes have reported their fitness. */
  public isComplete (peers: readonly IPeerIncarnation[]): boolean {
    return peers.every(({ processId, incarnation }) => this._reports.get(processId)?.incarnation === incarnation)
  }

  /** The highest fitness that a process reported; 0 if none did. */
  public get highest (): number {
    return Math.max(0, ...this._fitnesses)
  }

  /** Whether some process is much fitter than the owner or the standby. */
  public hasMuchFitter (ownerFitness: number, standbyId: string): boolean {
    const standbyFitness = this._reports.get(standbyId)?.fitness ?? ownerFitness
    return this.highest >= Math.min(ownerFitness, standbyFitness) * MIN_FITNESS_RATIO
  }

  private get _fitnesses (): readonly number[] {
    return [...this._reports.values()].map(({ fitness }) => fitness)
  }
}
