/**
 * The fencing tokens that one owner of the cell uses for one host.
 *
 * A host that restarts under its id has seen no token, and carries out what was sent to its earlier incarnation: nothing else in an order names
 * the incarnation that it is meant for. So the owner uses a higher token for each incarnation that it meets. Once an incarnation has answered
 * under its own token, it refuses all that was sent before.
 */

/** The tokens of each owner. Those of the next owner are above all of them. */
export const TOKENS_PER_OWNER = 10_000

export class HostFence {
  private _count = 0

  /** @param _ownerRevision the revision that the store gave to the ownership record, which rises with each owner */
  public constructor (private readonly _ownerRevision: number) {}

  /** The token of all orders that are sent now. */
  public get token (): number {
    return this._ownerRevision * TOKENS_PER_OWNER + this._count
  }

  /** Whether the owner has no higher token for the host. */
  public get isExhausted (): boolean {
    return this._count >= TOKENS_PER_OWNER - 1
  }

  /** Moves to the next token. Orders with an earlier one are refused by each incarnation of the host that has received this one. */
  public raise (): void {
    if (!this.isExhausted) this._count += 1
  }
}
