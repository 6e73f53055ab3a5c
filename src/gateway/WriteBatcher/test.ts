import { setTimeout as wait } from 'node:timers/promises'
import { WriteBatcher } from '.'

const createStream = () => {
  const stream = { flushed: 0, flush: () => { stream.flushed++ } }
  return stream
}

describe('WriteBatcher', () => {
  // Guards against a hot router that spends its processor time on a write for each event of its running streams.
  it('flushes together the streams that were delayed while the event loop was busy', async () => {
    const batcher = new WriteBatcher({ isBusy: () => true })
    const [a, b] = [createStream(), createStream()]
    expect([batcher.tryDelay(a), batcher.tryDelay(b), batcher.tryDelay(a)]).toEqual([true, true, true])
    expect([a.flushed, b.flushed]).toEqual([0, 0])
    while (a.flushed === 0) await wait(5)
    expect([a.flushed, b.flushed]).toEqual([1, 1])
  })

  it('delays no stream while there is time, and forgets streams that have ended', () => {
    let isBusy = false
    const batcher = new WriteBatcher({ isBusy: () => isBusy })
    expect(batcher.tryDelay(createStream())).toBe(false)
    isBusy = true
    const [ended, running] = [createStream(), createStream()]
    batcher.tryDelay(ended)
    batcher.tryDelay(running)
    batcher.remove(ended)
    batcher.close()
    expect([ended.flushed, running.flushed]).toEqual([0, 1])
  })
})
