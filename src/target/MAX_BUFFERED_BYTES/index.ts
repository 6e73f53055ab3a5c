/** Largest response body that the router buffers whole. A larger one is relayed while it arrives. */
export const MAX_BUFFERED_BYTES = 64 * 1024
