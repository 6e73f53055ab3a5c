import { runPlacement } from '.'
import { createPromptLoad } from '../createPromptLoad'
import { createSchedulerPolicy } from '../createSchedulerPolicy'

const ENGINES = 8
const SECONDS = 12
const PARAMETERS = { slots: 48, memoryTokens: 444_000, stepMs: 3.29, contextMsPerThousandTokens: 0.0262, prefillTokensPerMs: 93, attentionMsPerMillionPairs: 0.442, prefillChunkTokens: 2_048, eventDelayMs: 80, tokensPerEvent: 5 }
const SURGES = [{ fromS: 2, untilS: SECONDS, factor: 9, account: 1 }, { fromS: 3, untilS: SECONDS, factor: 14, account: 8 }]

describe('runPlacement', () => {
  // Guards against accounts that get less than half of their share while two hot accounts are served, although one
  // scheduler sees all calls and no router or engine fails. The bound is that of the users' rule FAIR.
  it('gives each refused account half of its due in any six seconds while two accounts are hot', () => {
    const broken = [12, 13, 14].flatMap(seed => {
      const calls = createPromptLoad({ seed, callsPerS: 110, seconds: SECONDS, accounts: 16, surges: SURGES, hotPrompt: { kind: 'long', share: 0.3, fromS: 3, untilS: SECONDS } })
      const { shares } = runPlacement({ calls, engines: ENGINES, parameters: PARAMETERS, seconds: SECONDS, createPolicy: actions => createSchedulerPolicy(actions, { engines: ENGINES, memoryTokens: PARAMETERS.memoryTokens, slots: PARAMETERS.slots, random: () => 0.5 }) })
      return shares.listWindows().filter(({ isBroken }) => isBroken).map(window => ({ seed, ...window }))
    })
    expect(broken).toEqual([])
  }, 60_000)
})
