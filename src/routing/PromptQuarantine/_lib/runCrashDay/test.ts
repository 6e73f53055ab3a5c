import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { CrashDay } from '../CrashDay'
import { PromptQuarantine } from '../..'
import { runCrashDay } from '.'

type Fleet = Pick<CrashDay, 'targets' | 'firstParts' | 'secondParts'>

const seeds = [104_746, 209_475, 523_662]
const fleets: Fleet[] = [
  { targets: 8, firstParts: 4, secondParts: 100 },
  { targets: 8, firstParts: 40, secondParts: 300 },
  { targets: 60, firstParts: 4, secondParts: 100 },
  { targets: 60, firstParts: 40, secondParts: 300 }
]
/** Limit of the issue: the part may crash five targets, and three requests with it may reach targets later than 3 s after. */
const MAX_CRASHES = 5
const MAX_SENT_AFTER_FIFTH = 3
/** Limit of the issue: sound requests begin at the first attempt at least half as often as before. */
const MIN_BEGUN_RATIO = 0.5
/**
 * Two crashes without an answer in between block a sound part until its first probe. A part is probed after 2 s at the
 * latest, parts that are blocked together one after the other, and each probe takes about half a second.
 */
const MAX_SOUND_BLOCK_MS = 8_000

function runDays (fleet: Fleet, day: Partial<CrashDay>) {
  return seeds.map(seed => {
    const generator = xoroshiro128plus(seed)
    const result = runCrashDay({ ...fleet, ...day, random: () => uniformFloat64(generator) }, new PromptQuarantine())
    return { seed, ...result }
  })
}

describe.each(fleets)('simulated days of $targets targets and prompts with $firstParts first parts', fleet => {
  // Guards against a part that crashes target after target, and against sound requests that are refused with it.
  it.each<[string, Partial<CrashDay>]>([
    ['at the second place', { badPosition: 1 }],
    ['at the second place, which was answered before', { badPosition: 1, wasSound: true }],
    ['at the first place', { badPosition: 0 }],
    ['while 2 in 100 answers are truncated', { badPosition: 1, truncatedShare: 0.02 }],
    ['while answers are truncated, targets crash at random and a zone is lost', { badPosition: 1, truncatedShare: 0.02, randomCrashes: 0.1, zoneLossesMs: [12_000] }]
  ])('bound the crashes by a part %s', (_title, day) => {
    for (const result of runDays(fleet, day)) {
      expect(result.crashes).toBeLessThanOrEqual(MAX_CRASHES)
      expect(result.sentAfterFifth).toBeLessThanOrEqual(MAX_SENT_AFTER_FIFTH)
      expect(result.begunAfter).toBeGreaterThanOrEqual(MIN_BEGUN_RATIO * result.begunBefore)
    }
  })

  // Guards against healthy parts that stay blocked although no part crashes targets.
  it.each<[string, Partial<CrashDay>]>([
    ['targets crash at random', { randomCrashes: 0.3 }],
    ['a third of the targets is lost at once, twice', { zoneLossesMs: [15_000, 40_000] }],
    ['2 in 100 answers are truncated', { truncatedShare: 0.02 }]
  ])('block no sound part for long while %s', (_title, day) => {
    for (const result of runDays(fleet, day)) {
      expect(result.longestBlockMs).toBeLessThanOrEqual(MAX_SOUND_BLOCK_MS)
      expect(result.refusedShare).toBeLessThan(0.05)
    }
  })
})
