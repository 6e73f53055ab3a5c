import { BodyBuffer } from '.'

describe('BodyBuffer', () => {
  it.each([1, 7, 1_000, 20_000, 100_000])('keeps the bytes in order in pieces of %i bytes', size => {
    const whole = Buffer.from(Array.from({ length: 300_000 }, (_, i) => i % 251))
    const body = new BodyBuffer()
    for (let start = 0; start < whole.length; start += size) body.add(whole.subarray(start, start + size))
    expect(body.length).toBe(whole.length)
    expect(Buffer.concat(body.listBlocks()).equals(whole)).toBe(true)
    expect(body.mergeBlocks().equals(whole)).toBe(true)
  })

  // Guards against a router that runs out of memory although few bytes of content have come.
  it('takes memory in proportion to its bytes when each piece is a small part of a large buffer', () => {
    const body = new BodyBuffer()
    for (let i = 0; i < 10_000; i++) body.add(Buffer.allocUnsafeSlow(64 * 1024).subarray(0, 1))
    expect(body.length).toBe(10_000)
    expect(body.allocatedBytes).toBeLessThan(4 * 10_000)
    expect(body.listBlocks().reduce((sum, { buffer }) => sum + buffer.byteLength, 0)).toBe(body.allocatedBytes)
  })

  it('knows its last byte', () => {
    const body = new BodyBuffer()
    expect(body.hasLast(1)).toBe(false)
    for (const piece of [Buffer.from([1]), Buffer.alloc(20_000, 2), Buffer.from([3])]) {
      body.add(piece)
      expect(body.hasLast(piece[piece.length - 1])).toBe(true)
      expect(body.hasLast(9)).toBe(false)
    }
  })
})
