interface LinearFit {
  slope: number
  intercept: number
  /** Largest vertical distance of a point from the line, relative to the largest absolute value. */
  largestResidual: number
}

/** Computes the least-squares line through the points. */
export function computeLine (points: ReadonlyArray<readonly [x: number, y: number]>): LinearFit {
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
