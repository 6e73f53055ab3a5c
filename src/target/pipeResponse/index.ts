import type { ServerResponse } from 'node:http'
import { selectHeaders } from '../selectHeaders'
import { writeChunk } from '../writeChunk'

interface LargeAnswer {
  status: number
  headers: Record<string, string | string[] | undefined>
  /** What was read already. */
  bytes: Buffer
  rest: AsyncIterator<Buffer>
}

/**
 * @name pipeResponse
 * @category Target
 * @summary Relays an answer that is too large to hold; its outcome follows as a trailer.
 *
 * @param response - The answer to the caller.
 * @param answer - Head of the target's answer, bytes read so far and the rest.
 * @param signal - Aborts when the caller leaves.
 * @throws Error of the target's stream or of the signal. The caller's connection must be destroyed then.
 *
 * @example
 * await pipeResponse(response, { status, headers, bytes, rest }, signal)
 */
export async function pipeResponse (response: ServerResponse, answer: LargeAnswer, signal: AbortSignal): Promise<void> {
  const { status, headers, bytes, rest } = answer
  response.writeHead(status, { ...selectHeaders(headers), trailer: 'papayalead-outcome' })
  await writeChunk(response, bytes, signal)
  for (let next = await rest.next(); !next.done; next = await rest.next()) await writeChunk(response, next.value, signal)
  response.addTrailers({ 'papayalead-outcome': 'complete' })
  response.end()
}
