import type { Experiment } from '../Experiment'
import { capacity } from './capacity'
import { delivery } from './delivery'
import { fairness } from './fairness'
import { overhead } from './overhead'

/** All experiments, in the order in which `npm run bench` runs them. */
export const experiments: readonly Experiment[] = [overhead, delivery, capacity, fairness]
