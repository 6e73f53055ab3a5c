/** Costs below this are rounded to 1 / 100, others to whole numbers. */
const FRACTION_SCALE = 100

/** Rounds a cost for sending, because whole numbers take 1 to 5 bytes in CBOR and fractions take 9. */
export function encodeCost (cost: number): number {
  return Math.abs(cost) >= FRACTION_SCALE ? Math.round(cost) : Math.round(cost * FRACTION_SCALE) / FRACTION_SCALE
}
