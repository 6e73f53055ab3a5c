import type { TargetEntry } from '../../contract/TargetEntry'

/**
 * @name TargetSource
 * @category Routing
 * @summary Reads the platform's list of targets.
 *
 * @description
 * `list` throws AppError `control-unavailable` if the list can't be read at present. The list lags, and the calls to
 * it are limited over all readers.
 *
 * @example
 * const entries = await source.list()
 */
export interface TargetSource {
  list: () => Promise<TargetEntry[]>
}
