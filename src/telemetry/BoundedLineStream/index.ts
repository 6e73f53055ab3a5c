import { write } from 'node:fs'
import { Writable } from 'node:stream'

interface BoundedLineStreamOptions {
  /** File descriptor to write to. */
  descriptor: number
  /** Maximum number of bytes buffered for writing. */
  maxPendingBytes: number
}

/**
 * @name BoundedLineStream
 * @category Telemetry
 * @summary Writes log lines from a bounded buffer, without blocking the process.
 *
 * @description
 * When the buffer is full because the reader is slow, new lines are dropped. The number of dropped lines is logged as a
 * separate line once lines are accepted again. A process that exits calls `flush` first, because lines that are still
 * pending at the exit are lost.
 *
 * @param options - File descriptor and buffer limit.
 *
 * @example
 * const stream = new BoundedLineStream({ descriptor: 1, maxPendingBytes: 262_144 })
 * stream.write('{"message":"Stopped."}\n')
 * await stream.flush(200) // true
 */
export class BoundedLineStream extends Writable {
  readonly #options: BoundedLineStreamOptions
  #pendingLines: Buffer[] = []
  #pendingBytes = 0
  #isWriting = false
  #droppedLines = 0
  #onWritten: Array<() => void> = []

  constructor (options: BoundedLineStreamOptions) {
    super({ decodeStrings: true })
    this.#options = options
  }

  override _write (line: Buffer, _encoding: string, done: () => void): void {
    this.#add(line)
    done()
  }

  /**
   * Waits until all pending lines are written, but not longer than the time limit, so that a reader that has stopped
   * reading can't hold the caller. Resolves to whether they are written. If not, `process.exit` would wait for the write
   * under way without a limit.
   */
  flush (timeoutMs: number): Promise<boolean> {
    if (!this.#isWriting) return Promise.resolve(true)
    return new Promise(resolve => {
      const timer = setTimeout(() => resolve(false), timeoutMs)
      this.#onWritten.push(() => {
        clearTimeout(timer)
        resolve(true)
      })
    })
  }

  #add (line: Buffer): void {
    if (this.#pendingBytes + line.length > this.#options.maxPendingBytes) {
      this.#droppedLines++
      return
    }
    if (this.#droppedLines > 0) this.#enqueue(Buffer.from(`${JSON.stringify({ level: 'warn', message: '[log] Lines were left out.', lines: this.#droppedLines })}\n`))
    this.#droppedLines = 0
    this.#enqueue(line)
  }

  #enqueue (line: Buffer): void {
    this.#pendingLines.push(line)
    this.#pendingBytes += line.length
    if (!this.#isWriting) setImmediate(() => this.#writePending())
    this.#isWriting = true
  }

  #writePending (): void {
    const bytes = Buffer.concat(this.#pendingLines)
    this.#pendingLines = []
    this.#writeAll(bytes, 0)
  }

  #writeAll (bytes: Buffer, offset: number): void {
    write(this.#options.descriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
      if (!error && offset + written < bytes.length) return this.#writeAll(bytes, offset + written)
      // The lines of a failed write are lost. The failure is not logged, because the log itself can't be written.
      this.#pendingBytes -= bytes.length
      if (this.#pendingLines.length > 0) this.#writePending()
      else this.#handleWritten()
    })
  }

  #handleWritten (): void {
    this.#isWriting = false
    const listeners = this.#onWritten
    this.#onWritten = []
    for (const listener of listeners) listener()
  }
}
