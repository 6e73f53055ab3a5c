import { write } from 'node:fs'
import { Writable } from 'node:stream'

interface BoundedLineStreamOptions {
  /** Descriptor to write to. */
  descriptor: number
  /** Most bytes that wait to be written. */
  maxPendingBytes: number
}

/**
 * @name BoundedLineStream
 * @category Telemetry
 * @summary Writes log lines without ever blocking or growing without bound.
 *
 * @description
 * Lines that find the buffer full because the reader is slow are dropped. Their number is written as a line of its own
 * once lines are accepted again.
 *
 * @param options - Descriptor and bounds.
 *
 * @example
 * const stream = new BoundedLineStream({ descriptor: 1, maxPendingBytes: 262_144 })
 * stream.write('{"message":"Started."}\n')
 */
export class BoundedLineStream extends Writable {
  readonly #options: BoundedLineStreamOptions
  #pending: Buffer[] = []
  #pendingBytes = 0
  #isWriting = false
  #dropped = 0

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
      this.#dropped++
      return
    }
    if (this.#dropped > 0) this.#enqueue(Buffer.from(`${JSON.stringify({ level: 'warn', message: '[log] Lines were left out.', lines: this.#dropped })}\n`))
    this.#dropped = 0
    this.#enqueue(line)
  }

  #enqueue (line: Buffer): void {
    this.#pending.push(line)
    this.#pendingBytes += line.length
    if (!this.#isWriting) setImmediate(() => this.#flush())
    this.#isWriting = true
  }

  #flush (): void {
    const bytes = Buffer.concat(this.#pending)
    this.#pending = []
    this.#writeAll(bytes, 0)
  }

  #writeAll (bytes: Buffer, offset: number): void {
    write(this.#options.descriptor, bytes, offset, bytes.length - offset, null, (error, written) => {
      if (!error && offset + written < bytes.length) return this.#writeAll(bytes, offset + written)
      // Nothing can be logged about a log that can't be written; its lines are lost.
      this.#pendingBytes -= bytes.length
      if (this.#pending.length > 0) this.#flush()
      else this.#isWriting = false
    })
  }
}
