import type { PromptPart } from '../../contract/PromptPart'

/**
 * @name Crash
 * @category Routing
 * @summary A crash of a target, with the prompts of the requests that it was about to answer.
 *
 * @description
 * Times are milliseconds of a monotonic clock.
 *
 * @example
 * const crash: Crash = { service: 's', target: 'i-1', prompts: [[{ id: 'a', tokens: 800 }]] }
 */
export interface Crash {
  service: string
  target: string
  prompts: readonly (readonly PromptPart[])[]
  /** Time of placement of each of these requests. */
  startedMs?: readonly number[]
  /** Time at which the first request was reported lost; that of the report of the crash by default. */
  crashedMs?: number
}
