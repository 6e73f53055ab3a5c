import { EventSplitter } from '.'

const add = (splitter: EventSplitter, text: string) => {
  const { bytes, lastEventId } = splitter.add(Buffer.from(text))
  return [bytes?.toString(), lastEventId]
}

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

  it('keeps the last event id across events without one', () => {
    const splitter = new EventSplitter()
    expect(add(splitter, 'id:9\ndata: x\n\n: comment\n\n')).toEqual(['id:9\ndata: x\n\n: comment\n\n', '9'])
    expect(add(splitter, 'data: y\n\n')).toEqual(['data: y\n\n', '9'])
  })

  it('keeps the id of the first event', () => {
    const splitter = new EventSplitter()
    const getFirstId = (text: string): string | undefined => splitter.add(Buffer.from(text)).firstEventId
    expect(getFirstId('data: x\n\n')).toBeUndefined()
    expect(getFirstId('id: 4\ndata: x\n\nid: 5\ndata: y\n\n')).toBe('4')
    expect(getFirstId('id: 6\ndata: x\n\n')).toBe('4')
  })

  // Guards against a resumed stream that repeats events which have no id.
  it('tells whether the last event has an id, whatever comments follow it', () => {
    const splitter = new EventSplitter()
    const isLastIdentified = (text: string): boolean => splitter.add(Buffer.from(text)).isLastIdentified
    expect(isLastIdentified('data: x\n\nid: 1\ndata: y\n\n: comment\n\n')).toBe(true)
    expect(isLastIdentified(': comment\n\n')).toBe(true)
    expect(isLastIdentified('id: 2\ndata: x\n\ndata: y\n\n')).toBe(false)
  })
})
