/**
 * Monotonic counters by name and one label, such as the answers of each kind, job ends or takeovers.
 */

export class Counters {
  private readonly _counts = new Map<string, Map<string, number>>()

  /** @param label a value from a fixed set, so that the table stays small */
  public add (name: string, label: string, by = 1): void {
    const row = this._counts.get(name) ?? new Map<string, number>()
    row.set(label, (row.get(label) ?? 0) + by)
    this._counts.set(name, row)
  }

  public rows (): readonly { readonly name: string, readonly label: string, readonly count: number }[] {
    return [...this._counts].flatMap(([name, row]) => [...row].map(([label, count]) => ({ name, label, count })))
  }
}
