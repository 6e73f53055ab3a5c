import { z } from 'zod'
import { SettingsChangeResult } from '../../contract/SettingsChangeResult'
import { SettingsHistoryEntry } from '../../contract/SettingsHistoryEntry'

/**
 * @name SettingsState
 * @category Configuration
 * @summary Snapshot of the settings tree.
 *
 * @description
 * `values`: JSON by path. `revisions`: revision by subtree. `results`: change ids with their results, oldest first, so
 * that a resent change gets its first result. They are a list, because an object would order ids that look like
 * numbers in another way, and replicas would evict different ones. `history`: the newest accepted changes. `offset`: log offset up to which the state is complete.
 *
 * @example
 * SettingsState.parse({ offset: 0, values: {}, revisions: {}, results: [] })
 */
export const SettingsState = z.object({
  offset: z.number().int().nonnegative(),
  values: z.record(z.string(), z.json()),
  revisions: z.record(z.string(), z.number()),
  results: z.array(z.tuple([z.string(), SettingsChangeResult])),
  history: z.array(SettingsHistoryEntry).default([])
})
export type SettingsState = z.infer<typeof SettingsState>
