import { randomUUID } from 'node:crypto'
import type { TargetEntry } from '../../contract/TargetEntry'
import type { TargetSource } from '../TargetSource'

interface TargetListReaderOptions {
  source: TargetSource
  intervalMs: number
  /** The list is read only while this holds. */
  isNeeded: () => boolean
  /** Called with each list that was read. */
  onRead?: (entries: TargetEntry[]) => void
  /** Called with each list that differs from the one before. */
  onChange?: (entries: TargetEntry[]) => void
  onError: (error: unknown) => void
}

/**
 * @name TargetListReader
 * @category Routing
 * @summary Reads the list of targets at an interval while its readings are needed.
 *
 * @description
 * `revision` changes with the content and differs between processes, so that a watcher can tell whether it has the
 * newest list of this reader. A list that can't be read leaves the last one in place; `readAtMs` (monotonic) tells
 * its age.
 *
 * @example
 * const reader = new TargetListReader({ source, intervalMs: 400, isNeeded: () => true, onChange: () => {}, onError: () => {} })
 * reader.start()
 */
export class TargetListReader {
  readonly #options: TargetListReaderOptions
  readonly #incarnation = randomUUID().slice(0, 8)
  #timer: NodeJS.Timeout | undefined
  #isClosed = false
  #isReading = false
  #count = 0
  #text = ''
  #entries: TargetEntry[] = []
  #readAtMs = -Infinity

  constructor (options: TargetListReaderOptions) {
    this.#options = options
  }

  get revision (): string {
    return `${this.#incarnation}-${this.#count}`
  }

  get entries (): TargetEntry[] {
    return this.#entries
  }

  get readAtMs (): number {
    return this.#readAtMs
  }

  start (): void {
    this.#timer = setInterval(() => { void this.#read() }, this.#options.intervalMs)
    void this.#read()
  }

  close (): void {
    this.#isClosed = true
    clearInterval(this.#timer)
  }

  async #read (): Promise<void> {
    const { source, isNeeded, onError } = this.#options
    if (this.#isReading || !isNeeded()) return
    this.#isReading = true
    const startedAtMs = performance.now()
    try {
      const entries = await source.list()
      if (!this.#isClosed) this.#accept(entries, startedAtMs)
    } catch (error) {
      onError(error)
    }
    this.#isReading = false
  }

  #accept (entries: TargetEntry[], readAtMs: number): void {
    this.#readAtMs = readAtMs
    this.#options.onRead?.(entries)
    const text = JSON.stringify(entries)
    if (text === this.#text) return
    this.#text = text
    this.#entries = entries
    this.#count++
    this.#options.onChange?.(entries)
  }
}
