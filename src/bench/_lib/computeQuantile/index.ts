/** The value below which a part of the values lies, by the nearest rank. */
export function computeQuantile (values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(sorted.length * part) - 1))] ?? NaN
}
