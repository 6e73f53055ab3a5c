/** Larger pieces are kept as they are, because copying them costs more than it saves. */
const MIN_KEPT_BYTES = 16 * 1024
const MIN_BLOCK_BYTES = 1024
const MAX_BLOCK_BYTES = 64 * 1024

/**
 * @name BodyBuffer
 * @category Gateway
 * @summary Collects the pieces of a body in an amount of memory that its length bounds.
 *
 * @description
 * A small piece is copied into a block: as a part of the buffer that was read from the connection it would keep the whole
 * buffer in memory, and many pieces of a few bytes would take far more memory for their objects than for their bytes.
 *
 * @example
 * const body = new BodyBuffer()
 * body.add(chunk)
 * body.listBlocks() // the bytes in order
 */
export class BodyBuffer {
  readonly #blocks: Buffer[] = []
  /** Block that has room for further small pieces. */
  #block: Buffer | undefined
  /** Number of bytes in `#block`. */
  #filledBytes = 0
  #length = 0
  #allocatedBytes = 0

  get length (): number {
    return this.#length
  }

  /** Memory that the body takes, in bytes. */
  get allocatedBytes (): number {
    return this.#allocatedBytes
  }

  /** Whether the last byte of the body is this one. */
  hasLast (byte: number): boolean {
    if (this.#block) return this.#block[this.#filledBytes - 1] === byte
    return this.#blocks.at(-1)?.at(-1) === byte
  }

  add (piece: Buffer): void {
    if (piece.length === 0) return
    this.#length += piece.length
    const isKept = piece.length >= MIN_KEPT_BYTES && 2 * piece.length >= piece.buffer.byteLength
    if (isKept) this.#addBlock(piece)
    else this.#write(piece)
  }

  /** Returns the bytes in order, in as many buffers as they are kept in. */
  listBlocks (): Buffer[] {
    this.#closeBlock()
    return [...this.#blocks]
  }

  /** Returns the bytes in one buffer. */
  mergeBlocks (): Buffer {
    const blocks = this.listBlocks()
    return blocks.length === 1 ? blocks[0] : Buffer.concat(blocks)
  }

  #addBlock (block: Buffer): void {
    this.#closeBlock()
    this.#blocks.push(block)
    this.#allocatedBytes += block.buffer.byteLength
  }

  #write (piece: Buffer): void {
    if (!this.#block || this.#block.length - this.#filledBytes < piece.length) this.#openBlock(piece.length)
    this.#filledBytes += piece.copy(this.#block!, this.#filledBytes)
  }

  /** Opens a block for at least `minBytes`. Blocks grow with the body, so that a short one takes little memory. */
  #openBlock (minBytes: number): void {
    this.#closeBlock()
    const size = Math.max(minBytes, Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.#length)))
    this.#block = Buffer.allocUnsafeSlow(size)
    this.#allocatedBytes += size
  }

  #closeBlock (): void {
    if (this.#block) this.#blocks.push(this.#block.subarray(0, this.#filledBytes))
    this.#block = undefined
    this.#filledBytes = 0
  }
}
