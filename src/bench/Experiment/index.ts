import type { ExperimentReport } from '../ExperimentReport'

/**
 * @name Experiment
 * @category Bench
 * @summary A seeded measurement that `npm run bench -- <name>` runs.
 *
 * @example
 * const experiment: Experiment = { name: 'overhead', measure: async ({ seed }) => report }
 */
export interface Experiment {
  name: string
  measure: (options: { seed: number }) => Promise<ExperimentReport>
}
