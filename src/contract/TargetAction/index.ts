import { z } from 'zod'

/**
 * @name TargetAction
 * @category Contract
 * @summary Action that a command requests of an inference engine.
 *
 * @description
 * `load-model` and `load-adapter` read weights from the weight store and are therefore subject to its limits.
 *
 * @example
 * TargetAction.parse({ kind: 'load-model', name: 'llama', version: '3' })
 */
export const TargetAction = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('load-model'), name: z.string().min(1), version: z.string().min(1) }),
  z.strictObject({ kind: z.literal('load-adapter'), name: z.string().min(1), version: z.string().min(1) }),
  z.strictObject({ kind: z.literal('change-role'), role: z.string().min(1) })
])
export type TargetAction = z.infer<typeof TargetAction>
