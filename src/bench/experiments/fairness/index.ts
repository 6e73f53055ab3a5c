import type { Experiment } from '../../Experiment'
import { measureFairness } from '../../measureFairness'

/** Service gap, idle slots, queueing times, control traffic and decision time of the scheduler and of the baselines. */
export const fairness: Experiment = { name: 'fairness', measure: measureFairness }
