/**
 * Plain text tables for people.
 */

export type Row = Readonly<Record<string, unknown>>

const GAP = '  '
const MAX_CELL_CHARS = 60

/** Lines with a head and one row each; numbers stand at the right. Columns are those of the rows, in their order. */
export function tableLines (rows: readonly Row[], columns = columnsOf(rows)): readonly string[] {
  if (rows.length === 0) return ['(none)']
  const cells = [columns, ...rows.map(row => columns.map(column => cellOf(row[column])))]
  const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]?.length ?? 0)))
  const isNumber = columns.map(column => rows.every(row => row[column] === undefined || typeof row[column] === 'number'))
  return cells.map(line => line.map((cell, index) => pad(cell, widths[index] ?? 0, isNumber[index] === true)).join(GAP).trimEnd())
}

function columnsOf (rows: readonly Row[]): readonly string[] {
  return [...new Set(rows.flatMap(row => Object.keys(row)))]
}

function cellOf (value: unknown): string {
  if (value === undefined || value === null) return '-'
  if (typeof value === 'number') return Number.isInteger(value) ? String(value) : value.toFixed(2)
  const text = typeof value === 'string' ? value : JSON.stringify(value)
  return text.length <= MAX_CELL_CHARS ? text : `${text.slice(0, MAX_CELL_CHARS - 1)}…`
}

function pad (cell: string, width: number, toTheRight: boolean): string {
  return toTheRight ? cell.padStart(width) : cell.padEnd(width)
}
