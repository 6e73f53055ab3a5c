import { z } from 'zod'
import { LinkIdentity } from '../../../contract/LinkIdentity'

/** First handshake message in each direction: identity of the sender and a nonce. */
export const HelloMessage = z.tuple([z.literal('hello'), z.literal(0), LinkIdentity.extend({ nonce: z.string().min(16).max(64) })])
export type HelloMessage = z.infer<typeof HelloMessage>
