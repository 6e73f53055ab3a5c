import { createHashPolicy } from '../../_lib/placement/createHashPolicy'
import { createPromptLoad } from '../../_lib/placement/createPromptLoad'
import { createSchedulerPolicy } from '../../_lib/placement/createSchedulerPolicy'
import { runPlacement } from '../../_lib/placement/runPlacement'
import type { Experiment } from '../../Experiment'

const SECONDS = 30
const ACCOUNTS = 16
const ENGINES = 8
/** Engine model with the figures in the users' documentation. */
const ENGINE_PARAMETERS = { slots: 48, memoryTokens: 444_000, stepMs: 3.29, contextMsPerThousandTokens: 0.0262, prefillTokensPerMs: 93, attentionMsPerMillionPairs: 0.442, prefillChunkTokens: 2_048, eventDelayMs: 80, tokensPerEvent: 5 }
const HOT_ACCOUNT = { fromS: 4, untilS: 12, factor: 6, account: 3 }
/** Two hot accounts at once: a larger and a smaller one. */
const HOT_ACCOUNTS = [{ fromS: 2, untilS: 22, factor: 9, account: 1 }, { fromS: 3, untilS: 22, factor: 14, account: 8 }]
const BURST = { fromS: 11, untilS: 15, factor: 1.7 }

const PATTERNS: Array<{ name: string, load: Omit<Parameters<typeof createPromptLoad>[0], 'seed' | 'seconds' | 'accounts'>, slow?: Parameters<typeof runPlacement>[0]['slow'] }> = [
  { name: 'usual', load: { callsPerS: 50 } },
  { name: 'one hot account', load: { callsPerS: 55, surges: [HOT_ACCOUNT, { ...HOT_ACCOUNT, fromS: 14, untilS: 22, account: 4 }] } },
  { name: 'many at once', load: { callsPerS: 75, surges: [BURST] } },
  { name: 'two hot accounts', load: { callsPerS: 110, surges: HOT_ACCOUNTS, hotPrompt: { kind: 'long', share: 0.3, fromS: 3, untilS: 22 } } },
  { name: 'one hot prompt', load: { callsPerS: 55, hotPrompt: { kind: 'long', share: 0.28, fromS: 10, untilS: 20 } } },
  { name: 'slow engines', load: { callsPerS: 55 }, slow: { engines: 2, factor: 6, fromS: 10, untilS: 20 } },
  { name: 'capacity below demand', load: { callsPerS: 110, surges: [BURST, HOT_ACCOUNT] } }
]

/** Compares the router's prompt scheduler with prefix hashing, by load pattern, on simulated engines. */
export const placement: Experiment = {
  name: 'placement',
  measure: async ({ seed }) => {
    const rows = PATTERNS.flatMap(({ name, load, slow }) => {
      const calls = createPromptLoad({ ...load, seed, seconds: SECONDS, accounts: ACCOUNTS })
      const options = { calls, engines: ENGINES, parameters: ENGINE_PARAMETERS, seconds: SECONDS, slow }
      const policies: Array<[string, Parameters<typeof runPlacement>[0]['createPolicy']]> = [
        ['prefix hashing, bound 1.3', actions => createHashPolicy(actions, { engines: ENGINES, loadBound: 1.3 })],
        ['prefix hashing, bound 8', actions => createHashPolicy(actions, { engines: ENGINES, loadBound: 8 })],
        ['scheduler', actions => createSchedulerPolicy(actions, { engines: ENGINES, memoryTokens: ENGINE_PARAMETERS.memoryTokens, slots: ENGINE_PARAMETERS.slots, random: () => 0.5 })]
      ]
      return policies.map(([policy, createPolicy]) => {
        const { credit, worstAccounts, largestServed, prefilledTokens, shares, outcomes } = runPlacement({ ...options, createPolicy })
        const windows = shares.listWindows()
        return [name, policy, calls.length, credit.toFixed(3), worstAccounts.toFixed(3), shares.findWorst()?.share.toFixed(2) ?? '-', windows.filter(({ isBroken }) => isBroken).length, largestServed.toFixed(2), (prefilledTokens / 1e6).toFixed(1), outcomes.inTime, outcomes.late, outcomes.refused, outcomes.failed]
      })
    })
    return {
      title: 'Placement: load patterns on a model of the engines',
      tables: [{ title: 'Figures', columns: ['pattern', 'policy', 'calls', 'credit', 'worst accounts', 'worst share of due', 'windows below half', 'largest served / all', 'million tokens read', 'in time', 'late', 'refused', 'failed'], rows }],
      objectives: [],
      notes: [
        'The engine model follows the users\' documentation of their engines: batching, chunked prefill between the tokens of other requests, step times that grow with the context, and a cache with least-recently-used eviction. Preemption, delayed reports and cache events are not modelled.',
        'Credit: the maximum credit of the calls in time, plus 0.3 times that of late calls, minus 0.3 times that of calls whose retry was refused, divided by the maximum credit of all calls.',
        'Share of due: over windows of six seconds, for accounts with a call in each second that is refused or waits past its objective; tokens of the calls that began, divided by what the account asked or the best served account got, whichever is less each second. A window counts as below half less the three largest calls of the account, as in the users\' rule FAIR.'
      ]
    }
  }
}
