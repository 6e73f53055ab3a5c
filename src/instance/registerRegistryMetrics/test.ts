import type { LogStatus } from '../../log/LogStatus'
import { PrometheusMetrics } from '../../telemetry/PrometheusMetrics'
import { registerRegistryMetrics } from '.'

describe('registerRegistryMetrics', () => {
  it('renders the state at the time of the scrape', async () => {
    const metrics = new PrometheusMetrics({ instance: 'c1' })
    const verdicts = { place: 0, refuse: 0, none: 0 }
    const status = { role: 'leader', term: 3, commitOffset: 41, members: [{ kind: 'voter' }, { kind: 'learner' }] } as unknown as LogStatus
    registerRegistryMetrics(metrics, { getStatus: () => status, getStatistics: () => ({ appliedEntries: 12, appliedBytes: 3_000, longestApplyMs: 40, longestTickDelayMs: 250 }), countDecodedDocuments: () => 3, getVersion: () => 7, getListAgeMs: () => 250, getPlacements: () => ({ waiting: 2, running: 5, verdicts }), getLowestShare: () => 0.4, getTracking: () => ({ placed: 3, adopted: 2, oldestMs: 9_000, p99Ms: 4_000, surplus: 2, missing: 1, pendingPrefillMs: 700, maxSlowdown: 1.5 }), getQuarantine: () => ({ blockedParts: 1, crashes: 6 }) })
    verdicts.place = 9
    const text = await metrics.render()
    for (const line of ['registry_is_leader{instance="c1"} 1', 'registry_voters{instance="c1"} 1', 'registry_document_version{instance="c1"} 7', 'registry_list_age_seconds{instance="c1"} 0.25', 'scheduler_running{instance="c1"} 5', 'scheduler_tracked_calls{source="adopted",instance="c1"} 2', 'scheduler_oldest_call_seconds{instance="c1"} 9', 'scheduler_surplus_calls{instance="c1"} 2', 'scheduler_missing_calls{instance="c1"} 1', 'registry_applied_entries_total{instance="c1"} 12', 'registry_longest_tick_delay_seconds{instance="c1"} 0.25', 'registry_decoded_documents_total{instance="c1"} 3', 'scheduler_blocked_parts{instance="c1"} 1', 'scheduler_target_crashes_total{instance="c1"} 6', 'scheduler_lowest_share{instance="c1"} 0.4', 'scheduler_verdicts_total{verdict="place",instance="c1"} 9']) expect(text).toContain(line)
  })
})
