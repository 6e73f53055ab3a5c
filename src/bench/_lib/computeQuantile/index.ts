/** Computes a quantile (0 to 1) by the nearest-rank method; NaN without values. */
export function computeQuantile (values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(sorted.length * quantile) - 1))] ?? NaN
}
