import type { Experiment } from '../Experiment'
import { capacity } from './capacity'
import { delivery } from './delivery'
import { fairness } from './fairness'
import { overhead } from './overhead'
import { placement } from './placement'
import { router } from './router'
import { state } from './state'

/** All experiments, in the order in which `npm run bench` runs them. */
export const experiments: readonly Experiment[] = [overhead, fairness, state, delivery, placement, capacity, router]
