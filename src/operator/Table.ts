/**
 * Formats plain text tables.
 */

export type Row = Readonly<Record<string, unknown>>

const COLUMN_GAP = '  '
const MAX_CELL_CHARS = 60

/** Returns a header line and one line for each row, with numbers aligned to the right. By default, the columns are the fields of all rows. */
export function tableLines (rows: readonly Row[], columns = columnsOf(rows)): readonly string[] {
  if (rows.length === 0) return ['(none)']
  const cells = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))]
  const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]?.length ?? 0)))
  const isNumber = columns.map(column => rows.every(row => row[column] === undefined || typeof row[column] === 'number'))
  return cells.map(line => line.map((cell, index) => pad(cell, widths[index] ?? 0, isNumber[index] === true)).join(COLUMN_GAP).trimEnd())
}

function columnsOf (rows: readonly Row[]): readonly string[] {
  return [...new Set(rows.flatMap(row => Object.keys(row)))]
}

function formatCell (value: unknown): string {
  if (value === undefined || value === null) return '-'
  if (typeof value === 'number') return Number.isInteger(value) ? String(value) : value.toFixed(2)
  const text = typeof value === 'string' ? value : JSON.stringify(value)
  return text.length <= MAX_CELL_CHARS ? text : `${text.slice(0, MAX_CELL_CHARS - 1)}…`
}

function pad (cell: string, width: number, isRightAligned: boolean): string {
  return isRightAligned ? cell.padStart(width) : cell.padEnd(width)
}
