import type { PromptPart } from '../../contract/PromptPart'
import { PromptQuarantine } from '.'

let nextOwn = 0
/** Parts of a prompt: the given ones and a last part of its own. */
const createParts = (...ids: string[]): PromptPart[] => [...ids, `own${nextOwn++}`].map(id => ({ id, tokens: 10 }))

interface Crash { target?: string, prompts: PromptPart[][], service?: string, startedMs?: number[], crashedMs?: number }
const crash = (quarantine: PromptQuarantine, { service = 's', target = 't1', ...rest }: Crash, nowMs: number) => quarantine.recordCrash({ service, target, ...rest }, nowMs).map(({ part }) => part)
const answer = (quarantine: PromptQuarantine, parts: PromptPart[], nowMs: number) => quarantine.recordAnswer({ service: 's', parts }, nowMs).map(({ part }) => part)
const findBlocked = (quarantine: PromptQuarantine, parts: PromptPart[], nowMs: number, service = 's') => quarantine.findBlocked({ service, parts }, nowMs)?.part
const getEntry = (quarantine: PromptQuarantine, part: string, nowMs: number) => quarantine.list(nowMs).find(entry => entry.part === part)

/** Three crashes under the part `bad`, each beside another part. */
function createBlocked (): PromptQuarantine {
  const quarantine = new PromptQuarantine()
  for (const [index, other] of ['x', 'y', 'z'].entries()) crash(quarantine, { target: `t${index}`, prompts: [createParts(other, 'bad')] }, index * 1_000)
  return quarantine
}

describe('PromptQuarantine', () => {
  // Guards against a part that crashes target after target, because nothing remembers it.
  it('blocks a part from the second crash on, and not after the first', () => {
    const quarantine = new PromptQuarantine()
    expect(crash(quarantine, { target: 't1', prompts: [createParts('a', 'bad')] }, 0)).toEqual([])
    expect(findBlocked(quarantine, createParts('c', 'bad'), 500)).toBeUndefined()
    expect(crash(quarantine, { target: 't2', prompts: [createParts('b', 'bad'), createParts('c')] }, 1_000)).toEqual(['bad'])
    expect(findBlocked(quarantine, createParts('c', 'bad'), 1_001)).toBe('bad')
    expect(getEntry(quarantine, 'bad', 1_001)).toMatchObject({ service: 's', crashes: 2, targets: ['t1', 't2'] })
  })

  // Guards against refusals of sound requests that share their first part or a crashed target with a bad one.
  it('refuses only requests with the part itself, at any place but the last', () => {
    const quarantine = createBlocked()
    expect(findBlocked(quarantine, createParts('x', 'y'), 2_001)).toBeUndefined()
    expect(findBlocked(quarantine, createParts('bad', 'y', 'z'), 2_001)).toBe('bad')
    expect(findBlocked(quarantine, [{ id: 'x', tokens: 10 }, { id: 'bad', tokens: 10 }], 2_001)).toBeUndefined()
  })

  // Guards against a last part, which only one request has, that fills the memory.
  it('never suspects the last part of a prompt', () => {
    const quarantine = new PromptQuarantine()
    crash(quarantine, { prompts: [[{ id: 'only', tokens: 10 }]] }, 0)
    expect(quarantine.list(0)).toEqual([])
  })

  // Guards against a block of a part that many requests share and that targets answer all the time.
  it('clears a part by an answer after the crash', () => {
    const quarantine = new PromptQuarantine()
    crash(quarantine, { prompts: [createParts('hot')] }, 0)
    answer(quarantine, createParts('hot'), 300)
    expect(crash(quarantine, { prompts: [createParts('hot')] }, 1_000)).toEqual([])
    expect(findBlocked(quarantine, createParts('hot'), 1_000)).toBeUndefined()
  })

  // Guards against a part that turned bad but stays trusted, because of answers that began before the crash.
  it('does not clear a part by an answer that began before the crash', () => {
    const quarantine = new PromptQuarantine()
    answer(quarantine, createParts('bad'), 0)
    crash(quarantine, { prompts: [createParts('bad')], crashedMs: 900 }, 1_000)
    answer(quarantine, createParts('bad'), 900)
    expect(crash(quarantine, { prompts: [createParts('bad')] }, 2_000)).toEqual(['bad'])
  })

  // Guards against blocks of healthy parts after the power loss of a zone, when many targets end at once.
  it('counts crashes of several targets within 300 ms once', () => {
    const quarantine = new PromptQuarantine()
    for (let i = 0; i < 20; i++) expect(crash(quarantine, { target: `t${i}`, prompts: [createParts(`a${i % 2}`)], startedMs: [-100] }, i * 10)).toEqual([])
    expect(getEntry(quarantine, 'a0', 200)).toMatchObject({ crashes: 1, blockedMs: 0 })
    expect(getEntry(quarantine, 'a0', 200)!.targets.length).toBeLessThanOrEqual(8)
  })

  // Guards against a burst of requests that crash one target each and count as one event, so that the part stays unblocked.
  it('blocks a part that is suspected of all of the first three crashes within 300 ms', () => {
    const quarantine = new PromptQuarantine()
    const listBlocked = (i: number) => crash(quarantine, { target: `t${i}`, prompts: [createParts(`a${i}`, 'bad')], startedMs: [-100] }, i * 10)
    expect([listBlocked(0), listBlocked(1), listBlocked(2), listBlocked(3)]).toEqual([[], [], ['bad'], []])
    expect(getEntry(quarantine, 'bad', 200)).toMatchObject({ crashes: 2 })
  })

  // Guards against a third crash by the retry of a request that crashed its first target within 300 ms.
  it('counts a request that was placed after the previous crash within that time too', () => {
    const quarantine = new PromptQuarantine()
    crash(quarantine, { target: 't1', prompts: [createParts('bad')], startedMs: [0], crashedMs: 100 }, 140)
    expect(crash(quarantine, { target: 't2', prompts: [createParts('bad')], startedMs: [105], crashedMs: 250 }, 290)).toEqual(['bad'])
  })

  // Guards against crashes by probes one after the other, and against a block that never ends.
  it('lets one request through after the block time, and blocks for several times as long after its crash', () => {
    const quarantine = createBlocked()
    let endMs = 2_000 + getEntry(quarantine, 'bad', 2_000)!.blockedMs
    for (const [index, blockedMs] of [60_000, 240_000].entries()) {
      expect(findBlocked(quarantine, createParts('bad'), endMs - 1)).toBe('bad')
      const probe = createParts('bad')
      expect(findBlocked(quarantine, probe, endMs)).toBeUndefined()
      expect(quarantine.recordPlacement({ service: 's', parts: probe }, endMs)).toMatchObject({ part: 'bad', crashes: 3 + index })
      expect(findBlocked(quarantine, createParts('bad'), endMs + 1)).toBe('bad')
      crash(quarantine, { prompts: [probe], startedMs: [endMs] }, endMs + 300)
      expect(getEntry(quarantine, 'bad', endMs + 300)).toMatchObject({ crashes: 4 + index, blockedMs })
      endMs += 300 + blockedMs
    }
  })

  // Guards against an innocent part that is blocked for long, because calls that were placed before the block end in crashes.
  it('blocks a part for long only after the crash of a probe', () => {
    const quarantine = createBlocked()
    crash(quarantine, { prompts: [createParts('bad')], startedMs: [1_900] }, 2_400)
    expect(getEntry(quarantine, 'bad', 2_400)).toMatchObject({ crashes: 4, blockedMs: 2_000 })
    quarantine.recordPlacement({ service: 's', parts: createParts('bad') }, 4_500)
    crash(quarantine, { prompts: [createParts('bad')], startedMs: [1_900] }, 4_600)
    expect(getEntry(quarantine, 'bad', 4_600)!.blockedMs).toBeLessThan(3_000)
  })

  // Guards against an innocent part that is blocked for long, because its probe was at a target that lost its power.
  it.each([0, 1])('does not take the crash of a probe for its fault if another target crashes at the same time', index => {
    const quarantine = createBlocked()
    const probe = createParts('bad')
    quarantine.recordPlacement({ service: 's', parts: probe }, 5_000)
    const crashes = [{ target: 't7', prompts: [probe], startedMs: [5_000] }, { target: 't8', prompts: [createParts('other')], startedMs: [4_900] }]
    crash(quarantine, crashes[index], 5_200)
    crash(quarantine, crashes[1 - index], 5_220)
    expect(getEntry(quarantine, 'bad', 5_220)!.blockedMs).toBeLessThanOrEqual(2_000)
  })

  // Guards against callers that are refused although the targets have been mended.
  it('ends the block when a probe is answered, and lets the next request through when a probe has no result', () => {
    const quarantine = createBlocked()
    quarantine.recordPlacement({ service: 's', parts: createParts('bad') }, 70_000)
    expect(findBlocked(quarantine, createParts('bad'), 72_000)).toBe('bad')
    expect(findBlocked(quarantine, createParts('bad'), 73_001)).toBeUndefined()
    quarantine.recordPlacement({ service: 's', parts: createParts('bad') }, 73_001)
    expect(answer(quarantine, createParts('bad'), 73_300)).toEqual(['bad'])
    expect(findBlocked(quarantine, createParts('bad'), 73_301)).toBeUndefined()
    expect(getEntry(quarantine, 'bad', 73_301)).toBeUndefined()
  })

  // Guards against innocent parts that stay blocked, because their requests are refused and so can't clear them.
  it('probes parts that share their crashes early, those that were answered before first, and one at a time', () => {
    const quarantine = new PromptQuarantine()
    answer(quarantine, createParts('a', 'b'), -5_000)
    for (const nowMs of [0, 1_000]) crash(quarantine, { prompts: [createParts('a', 'bad'), createParts('b')] }, nowMs)
    expect(['a', 'b', 'bad'].map(part => findBlocked(quarantine, createParts(part), 1_100))).toEqual(['a', 'b', 'bad'])
    expect(['a', 'b', 'bad'].map(part => findBlocked(quarantine, createParts(part), 1_400))).toEqual([undefined, undefined, 'bad'])
    expect(findBlocked(quarantine, createParts('a', 'b'), 1_400)).toBe('a')
    quarantine.recordPlacement({ service: 's', parts: createParts('a') }, 1_400)
    expect(findBlocked(quarantine, createParts('b'), 1_500)).toBe('b')
    expect(answer(quarantine, createParts('a'), 1_600)).toEqual(['a'])
    expect(findBlocked(quarantine, createParts('b'), 1_700)).toBeUndefined()
  })

  // Guards against a part of one service that is refused because targets of another service crashed under it.
  it('keeps services apart', () => {
    const quarantine = createBlocked()
    expect(findBlocked(quarantine, createParts('bad'), 2_001, 'other')).toBeUndefined()
    expect(quarantine.release({ service: 'other', part: 'bad' }, 2_001)).toBe(false)
  })

  it('releases a part by hand', () => {
    const quarantine = createBlocked()
    expect(quarantine.release({ service: 's', part: 'bad' }, 2_001)).toBe(true)
    expect(findBlocked(quarantine, createParts('bad'), 2_001)).toBeUndefined()
  })

  // Guards against crashes that start anew when another instance takes over.
  it('adopts from another instance the higher count and the later end of a block', () => {
    const quarantine = createBlocked()
    const entry = { service: 's', part: 'bad', crashes: 2, blockedMs: 90_000, targets: ['t9'] }
    quarantine.merge([entry, { ...entry, part: 'known' }], 2_000)
    expect(getEntry(quarantine, 'bad', 2_000)).toMatchObject({ crashes: 3, blockedMs: 90_000 })
    expect(getEntry(quarantine, 'known', 2_000)).toEqual({ ...entry, part: 'known' })
    expect(findBlocked(quarantine, createParts('known'), 91_999)).toBe('known')
    quarantine.replace([entry], 3_000)
    expect(quarantine.list(3_000)).toEqual([entry])
  })

  // Guards against a part that is never cleared, because other instances report the same crash again and again.
  it('clears a part that another instance reports repeatedly', () => {
    const quarantine = new PromptQuarantine()
    const entry = { service: 's', part: 'a', crashes: 1, blockedMs: 0, targets: ['t1'] }
    for (const nowMs of [0, 1_000]) quarantine.merge([entry], nowMs)
    answer(quarantine, createParts('a'), 900)
    expect(quarantine.list(1_000)).toEqual([])
  })

  // Guards against one probe by each router while none of them reaches the scheduler of the fleet.
  it('probes later where it does not see the calls of the whole fleet', () => {
    const quarantine = new PromptQuarantine({ probeDelayMs: 10_000 })
    quarantine.merge([{ service: 's', part: 'bad', crashes: 3, blockedMs: 1_000, targets: [] }], 0)
    expect(findBlocked(quarantine, createParts('bad'), 10_999)).toBe('bad')
    expect(findBlocked(quarantine, createParts('bad'), 11_000)).toBeUndefined()
  })

  // Guards against memory that grows with each part of a large fleet, and against eviction of the part that matters.
  it('expires entries, and evicts those with the fewest crashes first', () => {
    const quarantine = createBlocked()
    for (let i = 0; i < 1_200; i++) crash(quarantine, { prompts: [createParts(`p${i}`)] }, 3_000 + i)
    expect(quarantine.list(5_000)).toHaveLength(1_000)
    expect(getEntry(quarantine, 'bad', 5_000)).toMatchObject({ crashes: 3 })
    expect(quarantine.list(700_000).map(({ part }) => part)).toEqual(['bad'])
    expect(quarantine.list(2 * 3_600_000)).toEqual([])
  })
})
