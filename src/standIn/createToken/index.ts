/**
 * @name createToken
 * @category Stand-in
 * @summary Returns the token that the engine stand-in generates for a prompt at a position.
 *
 * @description
 * The token depends only on the hash of the prompt and the position. The hash makes responses to different prompts
 * distinguishable, so that mixed-up responses are detected. A resumed stream has the same tokens.
 *
 * @param promptHash - xxHash32 of the prompt.
 * @param index - Position, from 0.
 * @returns The token with a trailing space.
 *
 * @example
 * createToken(255, 2) // 'token2-73 '
 */
export function createToken (promptHash: number, index: number): string {
  return `token${index}-${promptHash.toString(36)} `
}
