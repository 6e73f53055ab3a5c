import { z } from 'zod'
import { SettingsChangeResult } from '../../contract/SettingsChangeResult'
import { SettingsHistoryEntry } from '../../contract/SettingsHistoryEntry'

/**
 * @name SettingsState
 * @category Configuration
 * @summary Snapshot of the settings tree.
 *
 * @example
 * SettingsState.parse({ offset: 0, values: {}, revisions: {}, results: [] })
 */
export const SettingsState = z.object({
  /** Log offset up to which the state is complete. */
  offset: z.number().int().nonnegative(),
  /** JSON value by path. */
  values: z.record(z.string(), z.json()),
  /** Revision by subtree. */
  revisions: z.record(z.string(), z.number()),
  /**
   * Change ids with their results, oldest first; a resent change gets its first result. They are a list, because an
   * object would order ids that look like numbers differently, and replicas would evict different results.
   */
  results: z.array(z.tuple([z.string(), SettingsChangeResult])),
  /** The newest accepted changes. */
  history: z.array(SettingsHistoryEntry).default([])
})
export type SettingsState = z.infer<typeof SettingsState>
