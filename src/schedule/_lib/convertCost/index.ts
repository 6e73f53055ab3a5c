const EXACT_BELOW = 100

/** Cost as it is sent: whole numbers take 1 to 5 bytes in CBOR and fractions take 9. */
export function convertCost (cost: number): number {
  return Math.abs(cost) >= EXACT_BELOW ? Math.round(cost) : Math.round(cost * EXACT_BELOW) / EXACT_BELOW
}
