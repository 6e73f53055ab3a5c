import { findFirstEventId } from '.'

describe('findFirstEventId', () => {
  // Guards against a resumed stream that repeats events: its first id has to be later than the last one before.
  it('finds the id of the first event that has one', () => {
    expect(findFirstEventId(Buffer.from('data: x\n\n'))).toBeUndefined()
    expect(findFirstEventId(Buffer.from('data: x\n\nid: 4\ndata: x\n\nid: 5\ndata: y\n\n'))).toBe('4')
  })
})
