import { z } from 'zod'
import { ErrorKind } from '../../../contract/ErrorKind'
import { Outcome } from '../../../contract/Outcome'

/** Body of a reply: the value, or an error with its kind and outcome. */
export const ReplyBody = z.union([
  z.object({ error: z.object({ kind: ErrorKind, message: z.string(), outcome: Outcome, details: z.record(z.string(), z.unknown()).nullish() }) }),
  z.object({ value: z.unknown() })
])
export type ReplyBody = z.infer<typeof ReplyBody>
