import { FrameDecoder } from '.'
import { encodeFrame } from '../encodeFrame'

function decodeInChunks (bytes: Buffer, size: number): unknown[] {
  const decoder = new FrameDecoder()
  const messages: unknown[] = []
  for (let at = 0; at < bytes.length; at += size) messages.push(...decoder.read(bytes.subarray(at, at + size)))
  return messages
}

describe('FrameDecoder', () => {
  const bytes = Buffer.concat([encodeFrame(['a', 1, { x: [1, 2.5, 'z'] }]), encodeFrame(['b', 0, null])])

  it.each([1, 2, 7, 1000])('yields the same messages when the stream is split every %d bytes, so that no frame is lost at a packet boundary', size => {
    expect(decodeInChunks(bytes, size)).toEqual([['a', 1, { x: [1, 2.5, 'z'] }], ['b', 0, null]])
  })

  it('keeps a truncated frame pending instead of yielding a part of it', () => {
    const decoder = new FrameDecoder()
    expect([...decoder.read(bytes.subarray(0, 6))]).toEqual([])
    expect(decoder.pendingBytes).toBe(6)
  })

  it.each([
    ['another version', 'version-mismatch', () => { const f = encodeFrame(1); f[4] = 9; return f }],
    ['a length over the limit', 'frame-too-large', () => { const f = encodeFrame(1); f.writeUInt32BE(2 ** 31, 0); return f }],
    ['a payload that is not CBOR', 'frame-invalid', () => { const f = encodeFrame('xx'); f[5] = 0x7a; return f }]
  ])('refuses %s as %s', (_case, kind, create) => {
    expect(() => [...new FrameDecoder().read(create())]).toThrow(expect.objectContaining({ kind }))
  })
})
