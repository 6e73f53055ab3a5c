/**
 * @name createToken
 * @category Stand-in
 * @summary The token that the engine stand-in generates for a prompt at a position.
 *
 * @description
 * It depends on the hash of the prompt, so that mixed-up answers are seen, and on nothing else, so that a resumed stream
 * has the same tokens.
 *
 * @param promptHash - xxHash32 of the prompt.
 * @param index - Position, from 0.
 * @returns The text with a space at its end.
 *
 * @example
 * createToken(255, 2) // 'token2-73 '
 */
export function createToken (promptHash: number, index: number): string {
  return `token${index}-${promptHash.toString(36)} `
}
