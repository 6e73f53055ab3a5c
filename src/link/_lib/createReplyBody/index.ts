import { convertToAppError } from '../../../contract/convertToAppError'
import type { ReplyBody } from '../ReplyBody'

/** Runs a handler and returns its value or its error as the body of a reply. */
export async function createReplyBody (run: () => unknown): Promise<ReplyBody> {
  try {
    return { value: await run() }
  } catch (thrown) {
    const { kind, message, outcome, details } = convertToAppError(thrown)
    return { error: { kind, message, outcome, details } }
  }
}
