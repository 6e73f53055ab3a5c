import { EventSplitter } from '.'

const add = (splitter: EventSplitter, text: string) => [splitter.add(Buffer.from(text))?.toString(), splitter.findLastId()]

describe('EventSplitter', () => {
  // Guards against a partial event in a stream that is resumed at another target.
  it('forwards only complete events, however the stream is chunked', () => {
    const splitter = new EventSplitter()
    expect(add(splitter, 'id: 1\ndata: a\n\nid: 2\nda')).toEqual(['id: 1\ndata: a\n\n', '1'])
    expect(splitter.pendingBytes).toBe(8)
    expect(add(splitter, 'ta: b\n')).toEqual([undefined, '1'])
    expect(add(splitter, '\n')).toEqual(['id: 2\ndata: b\n\n', '2'])
    expect(splitter.pendingBytes).toBe(0)
  })

  it('keeps the last event id across comments, also those with the word data', () => {
    const splitter = new EventSplitter()
    expect(add(splitter, 'id:9\ndata: x\n\n: comment\n\n')).toEqual(['id:9\ndata: x\n\n: comment\n\n', '9'])
    expect(add(splitter, ': more data:\n\n')).toEqual([': more data:\n\n', '9'])
  })

  // Guards against a resumed stream that repeats events which have no id.
  it('has no last id if the last event has none, whatever comments follow it', () => {
    const splitter = new EventSplitter()
    expect(add(splitter, 'data: x\n\nid: 1\ndata: y\n\n: comment\n\n')[1]).toBe('1')
    expect(add(splitter, ': comment\n\n')[1]).toBe('1')
    expect(add(splitter, 'id: 2\ndata: x\n\ndata: y\n\n')[1]).toBeUndefined()
    expect(add(splitter, ': comment\n\n')[1]).toBeUndefined()
    expect(add(splitter, 'data: z\nid: 3\n\n')[1]).toBe('3')
  })

  // Guards against a look-up that misses an event because its bytes were dropped: the result must not depend on when it
  // is asked for.
  it('finds the same id when it is asked for only at the end', () => {
    const splitter = new EventSplitter()
    for (const text of ['id: 1\ndata: a\n\n', ': ping\n\n', 'id: 2\ndata: b\n\n', ': ping\n\n', ': ping\n\n']) splitter.add(Buffer.from(text))
    expect(splitter.findLastId()).toBe('2')
  })

  // Guards against a router that runs out of memory because a target sends comments, or ids without data, without end.
  it.each([[':\n\n'], ['id: 7\n\n']])('keeps a bounded number of bytes of a stream that goes on without data: %j', block => {
    const splitter = new EventSplitter()
    splitter.add(Buffer.from('id: 1\ndata: a\n\n'))
    const before = process.memoryUsage().arrayBuffers
    for (let i = 0; i < 1_000; i++) splitter.add(Buffer.from(block.repeat(Math.ceil(64 * 1024 / block.length))))
    expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(32 * 1024 * 1024)
    expect(splitter.findLastId()).toBe(block.startsWith('id') ? '7' : '1')
  })
})
