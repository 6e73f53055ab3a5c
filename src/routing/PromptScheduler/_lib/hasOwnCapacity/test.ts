import { hasOwnCapacity } from '.'

const load = { share: 0.1, engines: 4, slots: 192, running: 5, pendingPrefillMs: 100, queueMs: 500 }

describe('hasOwnCapacity', () => {
  // Guards against many schedulers that each take an engine without calls of their own for free.
  it('keeps to the share of the slots and queues of all engines', () => {
    expect(hasOwnCapacity(load, 100)).toBe(true)
    expect(hasOwnCapacity(load, 101)).toBe(false)
    expect(hasOwnCapacity({ ...load, running: 19 }, 10)).toBe(true)
    expect(hasOwnCapacity({ ...load, running: 20 }, 10)).toBe(false)
  })

  it('lets a large prompt begin while no other prefill is outstanding', () => {
    expect(hasOwnCapacity({ ...load, pendingPrefillMs: 0 }, 900)).toBe(true)
    expect(hasOwnCapacity({ ...load, running: 0, share: 0.001 }, 900)).toBe(true)
  })

  it('does not limit a scheduler that places all load', () => {
    expect(hasOwnCapacity({ ...load, share: 1, running: 500, pendingPrefillMs: 9_000 }, 900)).toBe(true)
  })
})
