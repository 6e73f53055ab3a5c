import type { LogStatistics } from '../../log/LogStatistics'
import type { LogStatus } from '../../log/LogStatus'
import type { Metrics } from '../../telemetry/Metrics'

interface RegistryState {
  getStatus: () => LogStatus
  getStatistics: () => LogStatistics
  /** Number of stored route documents that this replica has decoded since its start. */
  countDecodedDocuments: () => number
  /** Version of the route document in force, 0 if there is none. */
  getVersion: () => number
  /** Age of the list of targets in milliseconds; Infinity while this replica doesn't read it. */
  getListAgeMs: () => number
  /**
   * Number of prompts that wait for a verdict, number of placed prompts that have not ended, and number of verdicts by
   * type since the start of the process.
   */
  getPlacements: () => { waiting: number, running: number, verdicts: Readonly<Record<string, number>> }
  /** Smallest share of its due that a client account with refused calls got in the last six seconds; 1 if none. */
  getLowestShare: () => number
  /**
   * Running prompts by the way in which the scheduler learnt of them, ages in milliseconds, and differences from the load
   * reports of the routers.
   */
  getTracking: () => { placed: number, adopted: number, oldestMs: number, p99Ms: number, surplus: number, missing: number, pendingPrefillMs: number, maxSlowdown: number }
  /** Number of blocked prompt parts, and number of counted crashes of targets since the start of the process. */
  getQuarantine: () => { blockedParts: number, crashes: number }
}

const MS_PER_S = 1_000

/**
 * @name registerRegistryMetrics
 * @category Instance
 * @summary Registers the state of a registry replica and of its scheduler as metrics.
 *
 * @param metrics - Metrics of the process.
 * @param state - Functions that read the state.
 *
 * @example
 * registerRegistryMetrics(metrics, state)
 */
export function registerRegistryMetrics (metrics: Metrics, { getStatus, getStatistics, countDecodedDocuments, getVersion, getListAgeMs, getPlacements, getLowestShare, getTracking, getQuarantine }: RegistryState): void {
  const register = (name: string, help: string, read: () => number): void => metrics.registerReading({ name, help, read: () => [{ value: read() }] })
  register('registry_is_leader', '1 if this replica leads the log.', () => Number(getStatus().role === 'leader'))
  register('registry_term', 'Term of the log.', () => getStatus().term)
  register('registry_commit_offset', 'Newest committed offset of the log.', () => getStatus().commitOffset)
  register('registry_voters', 'Voters of the log.', () => getStatus().members.filter(({ kind }) => kind === 'voter').length)
  register('registry_applied_entries_total', 'Log entries that were applied.', () => getStatistics().appliedEntries)
  register('registry_applied_bytes_total', 'Size of the applied commands.', () => getStatistics().appliedBytes)
  register('registry_longest_apply_seconds', 'Longest batch of entries that was applied in one event loop iteration.', () => getStatistics().longestApplyMs / MS_PER_S)
  register('registry_longest_tick_delay_seconds', 'Longest delay of the timer for heartbeats and elections.', () => getStatistics().longestTickDelayMs / MS_PER_S)
  register('registry_decoded_documents_total', 'Stored route documents that were decoded.', countDecodedDocuments)
  register('registry_document_version', 'Version of the route document in force.', getVersion)
  register('registry_list_age_seconds', 'Age of the list of targets; infinite at a replica that does not lead.', () => getListAgeMs() / MS_PER_S)
  register('scheduler_waiting', 'Prompts that wait for a verdict.', () => getPlacements().waiting)
  register('scheduler_running', 'Prompts that were placed and have not ended.', () => getPlacements().running)
  register('scheduler_lowest_share', 'Smallest share of its due that a client account with refused calls got in the last six seconds; 1 if none was refused.', getLowestShare)
  register('scheduler_oldest_call_seconds', 'Time since the oldest running prompt was placed or adopted.', () => getTracking().oldestMs / MS_PER_S)
  register('scheduler_p99_call_seconds', 'Time since the placement or adoption that one in a hundred running prompts exceeds.', () => getTracking().p99Ms / MS_PER_S)
  register('scheduler_surplus_calls', 'Running prompts of the scheduler that no load report contains.', () => getTracking().surplus)
  register('scheduler_missing_calls', 'Prompts in load reports that the scheduler does not count as running.', () => getTracking().missing)
  register('scheduler_pending_prefill_seconds', 'Estimated outstanding prefill of all engines.', () => getTracking().pendingPrefillMs / MS_PER_S)
  register('scheduler_max_slowdown', 'Slowdown of the slowest engine against the estimates.', () => getTracking().maxSlowdown)
  metrics.registerReading({
    name: 'scheduler_tracked_calls',
    help: 'Running prompts by the way in which the scheduler learnt of them.',
    labels: ['source'],
    read: () => (['placed', 'adopted'] as const).map(source => ({ labels: { source }, value: getTracking()[source] }))
  })
  register('scheduler_blocked_parts', 'Prompt parts whose requests are refused because targets crash under them.', () => getQuarantine().blockedParts)
  register('scheduler_target_crashes_total', 'Crashes of targets that were counted against prompt parts.', () => getQuarantine().crashes)
  metrics.registerReading({
    name: 'scheduler_verdicts_total',
    help: 'Verdicts on prompts.',
    labels: ['verdict'],
    read: () => Object.entries(getPlacements().verdicts).map(([verdict, value]) => ({ labels: { verdict }, value }))
  })
}
