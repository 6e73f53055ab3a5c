import type { TargetEntry } from '../../contract/TargetEntry'

/**
 * @name TargetSource
 * @category Routing
 * @summary Reads the platform's list of targets.
 *
 * @description
 * The list lags behind the platform, and the number of calls to it is limited across all readers.
 *
 * @example
 * const entries = await source.list()
 */
export interface TargetSource {
  /** Throws AppError `control-unavailable` if the list can't be read at present. */
  list: () => Promise<TargetEntry[]>
}
