import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/**
 * @name createRandom
 * @category Stand-in
 * @summary A function that returns seeded random numbers from 0 (included) to 1 (excluded).
 *
 * @param seed - Integer; equal seeds give equal sequences.
 * @returns The function.
 *
 * @example
 * createRandom(1)() === createRandom(1)() // true
 */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
