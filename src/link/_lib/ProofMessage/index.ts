import { z } from 'zod'

/** Second message in each direction. */
export const ProofMessage = z.tuple([z.literal('proof'), z.literal(0), z.instanceof(Uint8Array)])
export type ProofMessage = z.infer<typeof ProofMessage>
