import { randomUUID } from 'node:crypto'
import type { TargetEntry } from '../../contract/TargetEntry'
import type { TargetSource } from '../TargetSource'

interface TargetListReaderOptions {
  source: TargetSource
  intervalMs: number
  /** The list is read only while this returns true. */
  isNeeded: () => boolean
  /** Called with each list, changed or not. */
  onRead?: (entries: TargetEntry[]) => void
  /** Called with each list that differs from the previous one. */
  onChange?: (entries: TargetEntry[]) => void
  onError: (error: unknown) => void
}

/**
 * @name TargetListReader
 * @category Routing
 * @summary Polls the platform's list of targets while it is needed.
 *
 * @description
 * When a poll fails, the previous list is kept.
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
  #revisionCount = 0
  #json = ''
  #entries: TargetEntry[] = []
  #readAtMs = -Infinity

  constructor (options: TargetListReaderOptions) {
    this.#options = options
  }

  /** Changes with the content and differs between processes, so watchers can tell whether their list is current. */
  get revision (): string {
    return `${this.#incarnation}-${this.#revisionCount}`
  }

  get entries (): TargetEntry[] {
    return this.#entries
  }

  /** Monotonic time at which the last successful poll began, from which the age of the list is computed. */
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
    const json = JSON.stringify(entries)
    if (json === this.#json) return
    this.#json = json
    this.#entries = entries
    this.#revisionCount++
    this.#options.onChange?.(entries)
  }
}
