import type { Readable } from 'node:stream'
import { AppError } from '../../contract/AppError'

interface ServerSentEvent {
  /** Bytes of the event, with the blank line at its end. */
  raw: Buffer
  data: string
}

/** A larger event is refused, so that a stream without blank lines can't exhaust memory. */
const MAX_EVENT_BYTES = 48 * 1024
const EVENT_END = /\r?\n\r?\n/

/**
 * @name readEvents
 * @category Target
 * @summary Splits an event stream into its events.
 *
 * @description
 * An incomplete event at the end of the stream is dropped.
 *
 * @param body - The stream.
 * @returns The events, in order.
 * @throws AppError `answer-truncated` for an oversize event; errors of the stream.
 *
 * @example
 * for await (const { data } of readEvents(body)) count(data)
 */
export async function * readEvents (body: Readable): AsyncGenerator<ServerSentEvent> {
  // Latin-1 maps each byte to one character, so a multi-byte character may be split between chunks.
  let pending = ''
  for await (const chunk of body) {
    pending += (chunk as Buffer).toString('latin1')
    for (let end = EVENT_END.exec(pending); end; end = EVENT_END.exec(pending)) {
      const size = end.index + end[0].length
      const raw = Buffer.from(pending.slice(0, size), 'latin1')
      pending = pending.slice(size)
      yield { raw, data: parseData(raw) }
    }
    if (pending.length > MAX_EVENT_BYTES) throw new AppError('answer-truncated', 'An event of the stream exceeds the size limit.')
  }
}

function parseData (raw: Buffer): string {
  const lines = raw.toString('utf8').split(/\r?\n/).filter(line => line.startsWith('data:'))
  return lines.map(line => line.slice(5).trimStart()).join('\n')
}
