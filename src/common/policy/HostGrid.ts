/**
 * Indexes hosts by free cores and free memory on a logarithmic grid with a bit mask per row and column. Finding the
 * tightest host with enough free capacity reads a few masks instead of every host.
 */

import { dominantShare, fits } from './Resources.js'

import type { IResources } from '../Types.js'
import type { LedgerHost } from './CapacityLedger.js'

/** Levels per dimension: one bit each in a 32-bit mask. */
const LEVELS = 32

/** Levels per octave: hosts in one cell differ by less than 42%. */
const LEVELS_PER_OCTAVE = 2

/** The smallest amounts that are distinguished. With 31 levels above zero they reach 5,792 cores and 724 GiB. */
const SMALLEST_CORES = 0.125
const SMALLEST_MEMORY_BYTES = 16 * 2 ** 20

/**
 * The most hosts checked in one cell. A host can be too small only in the cells at the edge of the need, and the start
 * of the scan rotates, so that a missed host is found soon after. Without the limit, one decision over a cell with
 * thousands of nearly full hosts would take milliseconds.
 */
const MAX_HOSTS_CHECKED = 32

/** A tie-break, worth less than one slot: of hosts with equally many free slots, the one with the fewest requests in flight is preferred. */
const IN_FLIGHT_WEIGHT = 1e-6

/** Which of the hosts with enough free capacity to prefer. */
export type GridOrder =
  /** The host with the least free capacity, so that large amounts of free capacity stay together. */
  | 'tightest'
  /** The host with the most free capacity, which has the fewest requests in flight. */
  | 'freest'

export type HostFilter = (host: LedgerHost) => boolean

interface IGridEntry {
  readonly host: LedgerHost
  free: IResources
  cell: number
  position: number
}

/** The level of an amount: 0 for none, then two levels per octave. */
export function levelOf (amount: number, smallest: number): number {
  if (amount <= 0) return 0
  const level = 1 + Math.floor(LEVELS_PER_OCTAVE * Math.log2(amount / smallest))
  return Math.min(Math.max(level, 1), LEVELS - 1)
}

export function coreLevel (cores: number): number {
  return levelOf(cores, SMALLEST_CORES)
}

export function memoryLevel (memoryBytes: number): number {
  return levelOf(memoryBytes, SMALLEST_MEMORY_BYTES)
}

export class HostGrid {
  private readonly _cells: IGridEntry[][] = Array.from({ length: LEVELS * LEVELS }, () => [])
  private readonly _rowMasks = new Uint32Array(LEVELS)
  private readonly _columnMasks = new Uint32Array(LEVELS)
  private readonly _entries = new Map<LedgerHost, IGridEntry>()
  private _rotation = 0

  public get size (): number {
    return this._entries.size
  }

  /** Adds a host or moves it to the cell of its free capacity. */
  public set (host: LedgerHost, free: IResources): void {
    const cell = coreLevel(free.cores) * LEVELS + memoryLevel(free.memoryBytes)
    const entry = this._entries.get(host)
    if (entry === undefined) {
      this._insertIntoCell({ host, free, cell, position: 0 })
      return
    }
    entry.free = free
    if (entry.cell === cell) return
    this._removeFromCell(entry)
    entry.cell = cell
    this._insertIntoCell(entry)
  }

  public delete (host: LedgerHost): void {
    const entry = this._entries.get(host)
    if (entry === undefined) return
    this._removeFromCell(entry)
    this._entries.delete(host)
  }

  /**
   * Returns a host with enough free capacity for `need`.
   *
   * Must support placing thousands of tasks a second on tens of thousands of hosts. The search goes along the dimension
   * of which the need takes the larger share, because that dimension limits what the host can still take afterwards.
   */
  public find (need: IResources, order: GridOrder, isAllowed: HostFilter): LedgerHost | undefined {
    const row = coreLevel(need.cores)
    const column = memoryLevel(need.memoryBytes)
    this._rotation += 1
    if (order === 'freest') return this._findFreest(need, row, column, isAllowed)
    const isCoreBound = row - coreLevel(1) >= column - memoryLevel(2 ** 31)
    return isCoreBound
      ? this._findTightestByCores(need, row, column, isAllowed)
      : this._findTightestByMemory(need, row, column, isAllowed)
  }

  /** The free capacity of one of the hosts with the most free cores. */
  public freest (): IResources | undefined {
    for (let cell = LEVELS * LEVELS - 1; cell >= 0; cell--) {
      const [entry] = this._cells[cell] ?? []
      if (entry !== undefined) return entry.free
    }
    return undefined
  }

  private _findTightestByCores (need: IResources, row: number, column: number, isAllowed: HostFilter): LedgerHost | undefined {
    for (let r = row; r < LEVELS; r++) {
      const mask = (this._rowMasks[r] ?? 0) >>> column
      for (let rest = mask, c = column; rest !== 0; rest >>>= 1, c++) {
        const host = (rest & 1) === 0 ? undefined : this._findInCell(r * LEVELS + c, need, 'tightest', isAllowed)
        if (host !== undefined) return host
      }
    }
    return undefined
  }

  private _findTightestByMemory (need: IResources, row: number, column: number, isAllowed: HostFilter): LedgerHost | undefined {
    for (let c = column; c < LEVELS; c++) {
      const mask = (this._columnMasks[c] ?? 0) >>> row
      for (let rest = mask, r = row; rest !== 0; rest >>>= 1, r++) {
        const host = (rest & 1) === 0 ? undefined : this._findInCell(r * LEVELS + c, need, 'tightest', isAllowed)
        if (host !== undefined) return host
      }
    }
    return undefined
  }

  private _findFreest (need: IResources, row: number, column: number, isAllowed: HostFilter): LedgerHost | undefined {
    for (let r = LEVELS - 1; r >= row; r--) {
      const mask = this._rowMasks[r] ?? 0
      if (mask === 0) continue
      for (let c = LEVELS - 1; c >= column; c--) {
        const host = (mask >>> c & 1) === 0 ? undefined : this._findInCell(r * LEVELS + c, need, 'freest', isAllowed)
        if (host !== undefined) return host
      }
    }
    return undefined
  }

  private _findInCell (cell: number, need: IResources, order: GridOrder, isAllowed: HostFilter): LedgerHost | undefined {
    const entries = this._cells[cell] ?? []
    const count = Math.min(entries.length, MAX_HOSTS_CHECKED)
    let best: LedgerHost | undefined
    let bestScore = Infinity
    for (let i = 0; i < count; i++) {
      const entry = entries[(this._rotation + i) % entries.length]
      if (entry === undefined || !fits(need, entry.free) || !isAllowed(entry.host)) continue
      const score = order === 'tightest'
        ? dominantShare(entry.free, entry.host.config.capacity)
        : entry.host.running.size * IN_FLIGHT_WEIGHT - entry.free.cores
      if (score < bestScore) {
        best = entry.host
        bestScore = score
      }
    }
    return best
  }

  private _insertIntoCell (entry: IGridEntry): void {
    const entries = this._cells[entry.cell]
    if (entries === undefined) return
    entry.position = entries.length
    entries.push(entry)
    this._entries.set(entry.host, entry)
    this._setMaskBits(entry.cell, true)
  }

  private _removeFromCell (entry: IGridEntry): void {
    const entries = this._cells[entry.cell]
    const last = entries?.pop()
    if (entries === undefined || last === undefined) return
    if (last !== entry) {
      entries[entry.position] = last
      last.position = entry.position
    }
    if (entries.length === 0) this._setMaskBits(entry.cell, false)
  }

  private _setMaskBits (cell: number, on: boolean): void {
    const row = Math.floor(cell / LEVELS)
    const column = cell % LEVELS
    const rowMask = this._rowMasks[row] ?? 0
    const columnMask = this._columnMasks[column] ?? 0
    this._rowMasks[row] = on ? rowMask | 1 << column : rowMask & ~(1 << column)
    this._columnMasks[column] = on ? columnMask | 1 << row : columnMask & ~(1 << row)
  }
}
