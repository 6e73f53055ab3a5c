import { Readable } from 'node:stream'
import { readResponseText } from '.'

describe('readResponseText', () => {
  it('reads a body up to its limit', async () => {
    expect(await readResponseText(Readable.from([Buffer.from('a'), Buffer.from('bc')]), { maxBytes: 3 })).toBe('abc')
  })

  // Guards against a process that runs out of memory because a body that it polls has no end.
  it('ends a body without end at its limit', async () => {
    let read = 0
    const body = Readable.from((function * () {
      for (;;) {
        read++
        yield Buffer.from('a')
      }
    })())
    await expect(readResponseText(body, { maxBytes: 1_000 })).rejects.toMatchObject({ kind: 'target-failed' })
    expect(body.destroyed).toBe(true)
    expect(read).toBeLessThan(1_100)
  })
})
