import { z } from 'zod'

/** Second handshake message in each direction: proves that the sender knows the cluster key. */
export const ProofMessage = z.tuple([z.literal('proof'), z.literal(0), z.instanceof(Uint8Array)])
export type ProofMessage = z.infer<typeof ProofMessage>
