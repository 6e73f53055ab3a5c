import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/**
 * @name createRandom
 * @category Stand-in
 * @summary Creates a seeded generator of random numbers from 0 (included) to 1 (excluded).
 *
 * @param seed - Integer; equal seeds give equal sequences.
 * @returns A function that returns the next number.
 *
 * @example
 * createRandom(1)() === createRandom(1)() // true
 */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}
