/** Most bytes of an answer that the router holds. Larger answers are relayed while they arrive. */
export const MAX_BUFFERED_BYTES = 64 * 1024
