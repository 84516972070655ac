/**
 * Prints a measured slope: the values at several sizes, the least-squares line through them and the error of the fit.
 */

export interface ISeries {
  readonly slope: string
  /** The unit of the values. The slope has this unit per one more of the things that the sizes count. */
  readonly unit: string
  /** Pairs of a size and the value measured at this size. */
  readonly points: ReadonlyArray<readonly [number, number]>
}

const DIGITS = 4

/** Prints one JSON line; `fitError` is the standard error of the estimate relative to the mean value. */
export function printSlope (series: ISeries): void {
  const { perUnit, intercept, fitError } = leastSquares(series.points)
  console.log(JSON.stringify({
    bench: 'slopes',
    slope: series.slope,
    unit: series.unit,
    sizes: series.points.map(([size]) => round(size)),
    values: series.points.map(([, value]) => round(value)),
    perUnit: round(perUnit),
    intercept: round(intercept),
    fitError: round(fitError)
  }))
}

/** Prints figures that do not lie on a line, for example because a budget bounds them. */
export function printFigures (figures: Readonly<Record<string, unknown>>): void {
  console.log(JSON.stringify({ bench: 'slopes', ...figures }))
}

interface IFit {
  readonly perUnit: number
  readonly intercept: number
  readonly fitError: number
}

function leastSquares (points: ISeries['points']): IFit {
  const meanX = mean(points.map(([x]) => x))
  const meanY = mean(points.map(([, y]) => y))
  const sumXX = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const perUnit = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / sumXX
  const intercept = meanY - perUnit * meanX
  const residual = points.reduce((sum, [x, y]) => sum + (y - intercept - perUnit * x) ** 2, 0)
  const fitError = Math.sqrt(residual / Math.max(1, points.length - 2)) / Math.abs(meanY)
  return { perUnit, intercept, fitError }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

export function round (value: number): number {
  return Number(value.toPrecision(DIGITS))
}
