import { once } from 'node:events'
import type { ServerResponse } from 'node:http'

/**
 * @name writeChunk
 * @category Target
 * @summary Writes to a caller with backpressure: waits for `drain` when the write buffer is full.
 *
 * @param response - The response to the caller.
 * @param chunk - Bytes to write.
 * @param signal - Aborts when the caller disconnects.
 * @throws Error of the signal.
 *
 * @example
 * await writeChunk(response, chunk, signal)
 */
export async function writeChunk (response: ServerResponse, chunk: Buffer, signal: AbortSignal): Promise<void> {
  signal.throwIfAborted()
  if (!response.write(chunk)) await once(response, 'drain', { signal })
}
