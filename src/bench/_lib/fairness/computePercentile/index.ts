/** Computes the value below which the given share of the values lies; 0 without values. */
export function computePercentile (values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0
}
