import { choosePlacement } from '.'

const parts = [{ id: 'shared', tokens: 13_000 }, { id: 'own', tokens: 3_000 }]
const prompt = { parts, promptTokens: 16_000 }
const create = (id: string, rank: number, changes: object = {}) => ({ id, rank, pendingMs: 0, running: 0, slots: 48, slowdown: 1, isKept: (part: string) => rank === 0 && part === 'shared', ...changes })

describe('choosePlacement', () => {
  // Load pattern: long shared prompts; spreading them evenly makes every target read all of them.
  it('sends a prompt where its shared part is kept', () => {
    expect(choosePlacement([create('b', 1), create('a', 0)], prompt).id).toBe('a')
    expect(choosePlacement([create('b', 1), create('a', 0, { pendingMs: 100 })], prompt).id).toBe('a')
  })

  // Load pattern: one hot prompt; its target alone can't serve all requests for it.
  it('sends a prompt elsewhere when its target falls behind by more than reading it again costs', () => {
    expect(choosePlacement([create('b', 1), create('a', 0, { pendingMs: 900 })], prompt).id).toBe('b')
    expect(choosePlacement([create('c', 2), create('b', 1), create('a', 0, { pendingMs: 900 })], prompt).id).toBe('b')
  })

  // Load pattern: slow targets; a prompt that waits there misses its objective.
  it('counts how slow a target is and whether its slots are taken', () => {
    expect(choosePlacement([create('b', 1), create('a', 0, { slowdown: 12 })], prompt).id).toBe('b')
    expect(choosePlacement([create('b', 1), create('a', 0, { running: 60 })], prompt).id).toBe('b')
  })

  it('estimates the time to read and to wait', () => {
    const { readMs, waitMs } = choosePlacement([create('a', 0, { pendingMs: 50 })], prompt)
    expect(Math.round(readMs)).toBe(57)
    expect(Math.round(waitMs)).toBe(107)
  })
})
