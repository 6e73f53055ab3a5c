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
 * separate line once lines are accepted again.
 *
 * @param options - File descriptor and buffer limit.
 *
 * @example
 * const stream = new BoundedLineStream({ descriptor: 1, maxPendingBytes: 262_144 })
 * stream.write('{"message":"Started."}\n')
 */
export class BoundedLineStream extends Writable {
  readonly #options: BoundedLineStreamOptions
  #pendingLines: Buffer[] = []
  #pendingBytes = 0
  #isWriting = false
  #droppedLines = 0

  constructor (options: BoundedLineStreamOptions) {
    super({ decodeStrings: true })
    this.#options = options
  }

  override _write (line: Buffer, _encoding: string, done: () => void): void {
    this.#add(line)
    done()
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
    if (!this.#isWriting) setImmediate(() => this.#flush())
    this.#isWriting = true
  }

  #flush (): void {
    const bytes = Buffer.concat(this.#pendingLines)
    this.#pendingLines = []
    this.#writeAll(bytes, 0)
  }

  #writeAll (bytes: Buffer, offset: number): void {
    write(this.#options.descriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
      if (!error && offset + written < bytes.length) return this.#writeAll(bytes, offset + written)
      // The lines of a failed write are lost. The failure is not logged, because the log itself can't be written.
      this.#pendingBytes -= bytes.length
      if (this.#pendingLines.length > 0) this.#flush()
      else this.#isWriting = false
    })
  }
}
