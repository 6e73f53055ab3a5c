import xxhash from 'xxhash-wasm'
import { createToken } from '../../../standIn/createToken'
import type { CallPlan } from '../../CallPlan'

const hashFunctions = xxhash()

/** Counts the tokens of a response and checks that they are exactly those that the engine stand-in generates. */
export async function checkTokens (text: string, expected: NonNullable<CallPlan['expected']>): Promise<{ isCorrect: boolean, tokens: number }> {
  const { h32 } = await hashFunctions
  const hash = h32(expected.prompt)
  const found = text.match(/token\d+-\w+ /g) ?? []
  const isCorrect = found.length === expected.tokens && found.every((token, index) => token === createToken(hash, index))
  return { isCorrect, tokens: found.length }
}
