const LINE_FEED = 10
const EVENT_END = Buffer.from('\n\n')

interface WholeEvents {
  /** Bytes of whole events, undefined if none ended. */
  bytes: Buffer | undefined
  /** Id of the last whole event that has one. */
  lastEventId: string | undefined
}

/**
 * @name EventSplitter
 * @category Gateway
 * @summary Cuts an event stream after whole events.
 *
 * @description
 * A target may stop in the middle of an event. Only whole events are passed on, so that a stream which goes on at
 * another target has no torn event in it.
 *
 * @example
 * const splitter = new EventSplitter()
 * splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')) // bytes of the first event, lastEventId '1'
 * splitter.pendingBytes // 8
 */
export class EventSplitter {
  #pending: Buffer | undefined
  #lastEventId: string | undefined

  get pendingBytes (): number {
    return this.#pending?.length ?? 0
  }

  add (chunk: Buffer): WholeEvents {
    const bytes = this.#pending ? Buffer.concat([this.#pending, chunk]) : chunk
    const endsWhole = bytes.length >= 2 && bytes[bytes.length - 1] === LINE_FEED && bytes[bytes.length - 2] === LINE_FEED
    const length = endsWhole ? bytes.length : bytes.lastIndexOf(EVENT_END) + EVENT_END.length
    if (length < EVENT_END.length) {
      this.#pending = bytes
      return { bytes: undefined, lastEventId: this.#lastEventId }
    }
    this.#pending = length === bytes.length ? undefined : bytes.subarray(length)
    const whole = bytes.subarray(0, length)
    this.#lastEventId = findLastId(whole) ?? this.#lastEventId
    return { bytes: whole, lastEventId: this.#lastEventId }
  }
}

function findLastId (events: Buffer): string | undefined {
  const text = events.toString('latin1')
  const start = text.startsWith('id:') && text.lastIndexOf('\nid:') === -1 ? 0 : text.lastIndexOf('\nid:') + 1
  if (!text.startsWith('id:', start)) return undefined
  return text.slice(start + 3, text.indexOf('\n', start)).trim()
}
