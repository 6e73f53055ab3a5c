import xxhash from 'xxhash-wasm'
import { createToken } from '../../../standIn/createToken'
import type { CallPlan } from '../../CallPlan'

const ready = xxhash()

/** Whether an answer holds exactly the tokens that the engine stand-in generates for the prompt, and counts them. */
export async function checkTokens (text: string, expected: NonNullable<CallPlan['expected']>): Promise<{ isRight: boolean, tokens: number }> {
  const { h32 } = await ready
  const hash = h32(expected.prompt)
  const found = text.match(/token\d+-\w+ /g) ?? []
  const isRight = found.length === expected.tokens && found.every((token, index) => token === createToken(hash, index))
  return { isRight, tokens: found.length }
}
