import type { Readable } from 'node:stream'

interface BodyRead {
  bytes: Buffer
  /** The unread rest of the body. Set only if `bytes` is longer than the limit. */
  rest?: AsyncIterator<Buffer>
}

/**
 * @name readResponseBody
 * @category Target
 * @summary Reads the body of a response until it ends or a limit is exceeded.
 *
 * @param body - The body.
 * @param options - `maxBytes`: the size above which the rest is returned unread.
 * @returns The bytes read, and the unread rest if the limit was exceeded.
 * @throws Error of the stream if the body is truncated.
 *
 * @example
 * const { bytes, rest } = await readResponseBody(body, { maxBytes: 65536 })
 */
export async function readResponseBody (body: Readable, options: { maxBytes: number }): Promise<BodyRead> {
  const chunks: Buffer[] = []
  const iterator = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  let size = 0
  for (let next = await iterator.next(); !next.done; next = await iterator.next()) {
    chunks.push(next.value)
    size += next.value.length
    if (size > options.maxBytes) return { bytes: Buffer.concat(chunks), rest: iterator }
  }
  return { bytes: Buffer.concat(chunks) }
}
