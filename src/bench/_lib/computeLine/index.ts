interface Line {
  slope: number
  intercept: number
  /** Largest distance of a point from the line, as a part of the largest value. */
  largestResidual: number
}

/** Least-squares line through points. */
export function computeLine (points: ReadonlyArray<readonly [x: number, y: number]>): Line {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const slope = covariance / variance
  const intercept = meanY - slope * meanX
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)))
  const residuals = points.map(([x, y]) => Math.abs(y - intercept - slope * x))
  return { slope, intercept, largestResidual: largest === 0 ? 0 : Math.max(...residuals) / largest }
}
