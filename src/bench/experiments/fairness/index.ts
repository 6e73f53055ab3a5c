import type { Experiment } from '../../Experiment'
import { measureFairness } from '../../measureFairness'

/** Gap in service, idle slots, waits, control traffic and decision time of the scheduler and of its alternatives. */
export const fairness: Experiment = { name: 'fairness', measure: measureFairness }
