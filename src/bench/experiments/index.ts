import type { Experiment } from '../Experiment'

/** All experiments, in the order in which `npm run bench` runs them. */
export const experiments: readonly Experiment[] = []
