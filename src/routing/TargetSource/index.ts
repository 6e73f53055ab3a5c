import type { TargetEntry } from '../../contract/TargetEntry'

/**
 * @name TargetSource
 * @category Routing
 * @summary Reads the platform's list of targets.
 *
 * @description
 * The list lags behind the state of the platform. The number of reads is limited, for all readers together.
 *
 * @example
 * const entries = await source.list()
 */
export interface TargetSource {
  /** Throws AppError `control-unavailable` if the list can't be read at present. */
  list: () => Promise<TargetEntry[]>
}
