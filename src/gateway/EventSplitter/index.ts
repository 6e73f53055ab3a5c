import { BodyBuffer } from '../BodyBuffer'

const LINE_FEED = 10
const EVENT_END = Buffer.from('\n\n')
const DATA_FIELD = 'data'
const ID_FIELD = 'id:'

/**
 * @name EventSplitter
 * @category Gateway
 * @summary Splits a server-sent event stream at the boundaries of its events.
 *
 * @description
 * A target may fail in the middle of an event. Only complete events are forwarded, so that a stream which is resumed at
 * another target contains no partial event. The id of the last event is looked up only when it is asked for, because
 * most streams are never resumed.
 *
 * @example
 * const splitter = new EventSplitter()
 * splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda')) // bytes of the first event
 * splitter.findLastId() // '1'
 * splitter.pendingBytes // 8
 */
export class EventSplitter {
  #pending = new BodyBuffer()
  /** The last complete events that contain data, and those after them that contain the last id if there are any. */
  #newest: Buffer[] = []

  /** Memory that the incomplete event at the end takes, in bytes. */
  get allocatedBytes (): number {
    return this.#pending.allocatedBytes
  }

  /** Number of bytes of the incomplete event at the end. */
  get pendingBytes (): number {
    return this.#pending.length
  }

  /** Whether an event with data or an id is complete. */
  get hasEvents (): boolean {
    return this.#newest.length > 0
  }

  /** Adds bytes of the stream. Returns those of the events that are complete now; undefined if there are none. */
  add (chunk: Buffer): Buffer | undefined {
    const completeLength = this.#findEnd(chunk)
    if (completeLength === 0) {
      this.#pending.add(chunk)
      return undefined
    }
    const complete = this.#takePending(chunk.subarray(0, completeLength))
    this.#pending.add(chunk.subarray(completeLength))
    this.#replaceNewest(complete)
    return complete
  }

  #replaceNewest (complete: Buffer): void {
    if (hasField(complete, DATA_FIELD)) this.#newest = [complete]
    else if (hasField(complete, ID_FIELD)) this.#newest = [...this.#newest.slice(0, 1), complete]
  }

  /** Returns the length of the part of the chunk that ends with the end of an event; 0 if no event ends in it. */
  #findEnd (chunk: Buffer): number {
    const last = chunk.length - 1
    if (chunk[last] === LINE_FEED && chunk[last - 1] === LINE_FEED) return chunk.length
    const index = chunk.lastIndexOf(EVENT_END)
    if (index >= 0) return index + EVENT_END.length
    const isSplitEnd = chunk[0] === LINE_FEED && this.#pending.hasLast(LINE_FEED)
    return isSplitEnd ? 1 : 0
  }

  /** Returns the pending bytes followed by others. */
  #takePending (bytes: Buffer): Buffer {
    if (this.#pending.length === 0) return bytes
    const complete = Buffer.concat([...this.#pending.listBlocks(), bytes])
    this.#pending = new BodyBuffer()
    return complete
  }

  /**
   * Returns the id after which the stream can be resumed. Undefined if the last event with data has no id: then a resumed
   * stream would repeat it.
   */
  findLastId (): string | undefined {
    const text = this.#newest.map(bytes => bytes.toString('latin1')).join('')
    const isLastIdentified = findLastEvent(text)?.some(line => line.startsWith('id:')) ?? false
    return isLastIdentified ? findLastId(text) : undefined
  }
}

/** Whether a line begins with the name of the field. */
function hasField (bytes: Buffer, name: string): boolean {
  return bytes.indexOf(name) === 0 || bytes.includes(`\n${name}`)
}

/** Returns the lines of the last event, without comments and other blocks that have no data. */
function findLastEvent (text: string): string[] | undefined {
  return text.split('\n\n').map(block => block.split('\n')).findLast(lines => lines.some(line => line.startsWith(DATA_FIELD)))
}

function findLastId (text: string): string | undefined {
  const start = text.startsWith('id:') && text.lastIndexOf('\nid:') === -1 ? 0 : text.lastIndexOf('\nid:') + 1
  if (!text.startsWith('id:', start)) return undefined
  return text.slice(start + 3, text.indexOf('\n', start)).trim()
}
