import { write } from 'node:fs'
import { Writable } from 'node:stream'

interface BoundedLineStreamOptions {
  /** Descriptor to write to. */
  descriptor: number
  /** Most bytes that wait to be written. */
  maxPendingBytes: number
  /** Most lines in a second. */
  maxLinesPerS: number
}

/** As winston writes the levels of warnings and errors. */
const URGENT_LEVEL = /"level":"(?:warn|error)"/

/**
 * @name BoundedLineStream
 * @category Telemetry
 * @summary Writes log lines without ever blocking or growing without bound.
 *
 * @description
 * Lines over the rate, and lines that find the buffer full because the reader is slow, are dropped. Their number is
 * written as a line of its own once lines are accepted again. Warnings and errors have a rate of their own, so that the
 * lines of many requests don't displace them.
 *
 * @param options - Descriptor and bounds.
 *
 * @example
 * const stream = new BoundedLineStream({ descriptor: 1, maxPendingBytes: 262_144, maxLinesPerS: 200 })
 * stream.write('{"message":"Started."}\n')
 */
export class BoundedLineStream extends Writable {
  readonly #options: BoundedLineStreamOptions
  #pending: Buffer[] = []
  #pendingBytes = 0
  #isWriting = false
  #secondStartMs = -Infinity
  #linesThisSecond = 0
  #urgentLinesThisSecond = 0
  #dropped = 0

  constructor (options: BoundedLineStreamOptions) {
    super({ decodeStrings: true })
    this.#options = options
  }

  override _write (line: Buffer, _encoding: string, done: () => void): void {
    this.#add(line, performance.now())
    done()
  }

  #add (line: Buffer, nowMs: number): void {
    if (nowMs - this.#secondStartMs >= 1_000) {
      this.#secondStartMs = nowMs
      this.#linesThisSecond = 0
      this.#urgentLinesThisSecond = 0
    }
    const { maxLinesPerS, maxPendingBytes } = this.#options
    const lines = URGENT_LEVEL.test(line.toString('latin1')) ? ++this.#urgentLinesThisSecond : ++this.#linesThisSecond
    if (lines > maxLinesPerS || this.#pendingBytes + line.length > maxPendingBytes) {
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
