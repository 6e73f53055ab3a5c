const LINE_FEED = 10
const EVENT_END = Buffer.from('\n\n')

interface CompleteEvents {
  /** Bytes of all events that are complete, undefined if there are none. */
  bytes: Buffer | undefined
  /** Id of the first event of the stream that has one. */
  firstEventId: string | undefined
  /** Id of the last complete event that has one. */
  lastEventId: string | undefined
  /** Whether the last complete event has an id: without one, a stream can't be resumed without repeating the event. */
  isLastIdentified: boolean
}

/**
 * @name EventSplitter
 * @category Gateway
 * @summary Splits a server-sent event stream at the boundaries of its events.
 *
 * @description
 * A target may fail in the middle of an event. Only complete events are forwarded, so that a stream which is resumed at
 * another target contains no partial event.
 *
 * @example
 * const splitter = new EventSplitter()
 * splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')) // bytes of the first event, lastEventId '1'
 * splitter.pendingBytes // 8
 */
export class EventSplitter {
  #pending: Buffer | undefined
  #firstEventId: string | undefined
  #lastEventId: string | undefined
  #isLastIdentified = false

  /** Number of bytes of the incomplete event at the end. */
  get pendingBytes (): number {
    return this.#pending?.length ?? 0
  }

  add (chunk: Buffer): CompleteEvents {
    const bytes = this.#pending ? Buffer.concat([this.#pending, chunk]) : chunk
    const endsWithEvent = bytes.length >= 2 && bytes[bytes.length - 1] === LINE_FEED && bytes[bytes.length - 2] === LINE_FEED
    const completeLength = endsWithEvent ? bytes.length : bytes.lastIndexOf(EVENT_END) + EVENT_END.length
    // Without the end of an event, lastIndexOf returns -1, and the sum is less than the length of an event end.
    if (completeLength < EVENT_END.length) {
      this.#pending = bytes
      return this.#createResult(undefined)
    }
    this.#pending = completeLength === bytes.length ? undefined : bytes.subarray(completeLength)
    const complete = bytes.subarray(0, completeLength)
    const text = complete.toString('latin1')
    this.#firstEventId ??= findFirstId(text)
    this.#lastEventId = findLastId(text) ?? this.#lastEventId
    this.#isLastIdentified = findLastEvent(text)?.some(line => line.startsWith('id:')) ?? this.#isLastIdentified
    return this.#createResult(complete)
  }

  #createResult (bytes: Buffer | undefined): CompleteEvents {
    return { bytes, firstEventId: this.#firstEventId, lastEventId: this.#lastEventId, isLastIdentified: this.#isLastIdentified }
  }
}

/** Returns the lines of the last event, without comments and other blocks that have no data. */
function findLastEvent (text: string): string[] | undefined {
  return text.split('\n\n').map(block => block.split('\n')).findLast(lines => lines.some(line => line.startsWith('data')))
}

function findFirstId (text: string): string | undefined {
  return /^id:(.*)$/m.exec(text)?.[1].trim()
}

function findLastId (text: string): string | undefined {
  const start = text.startsWith('id:') && text.lastIndexOf('\nid:') === -1 ? 0 : text.lastIndexOf('\nid:') + 1
  if (!text.startsWith('id:', start)) return undefined
  return text.slice(start + 3, text.indexOf('\n', start)).trim()
}
