import type { ServerResponse } from 'node:http'
import { selectStreamHeaders } from '../selectStreamHeaders'
import { writeChunk } from '../writeChunk'

interface PartiallyReadResponse {
  status: number
  headers: Record<string, string | string[] | undefined>
  /** Bytes of the body that were read already. */
  bytes: Buffer
  /** The unread part of the body. */
  rest: AsyncIterator<Buffer>
}

/**
 * @name pipeResponse
 * @category Target
 * @summary Relays a response that is too large to buffer; its outcome follows as a trailer if the caller supports one.
 *
 * @param response - The response to the caller.
 * @param targetResponse - Status and headers of the target, bytes of the body read so far, and the rest.
 * @param signal - Aborts when the caller disconnects.
 * @throws Error of the target's stream or of the signal. The caller's connection must be destroyed then.
 *
 * @example
 * await pipeResponse(response, { status, headers, bytes, rest }, signal)
 */
export async function pipeResponse (response: ServerResponse, targetResponse: PartiallyReadResponse, signal: AbortSignal): Promise<void> {
  const { status, headers, bytes, rest } = targetResponse
  response.writeHead(status, selectStreamHeaders(response, headers))
  await writeChunk(response, bytes, signal)
  for (let next = await rest.next(); !next.done; next = await rest.next()) await writeChunk(response, next.value, signal)
  response.addTrailers({ 'papayalead-outcome': 'complete' })
  response.end()
}
