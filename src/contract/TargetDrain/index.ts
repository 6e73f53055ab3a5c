import { z } from 'zod'

/**
 * @name TargetDrain
 * @category Contract
 * @summary Value of `/teams/<team>/drains/<target>`: present while an operator drains the target.
 *
 * @example
 * TargetDrain.parse({ reason: 'filter change' })
 */
export const TargetDrain = z.strictObject({ reason: z.string().max(500).default('') })
export type TargetDrain = z.infer<typeof TargetDrain>
