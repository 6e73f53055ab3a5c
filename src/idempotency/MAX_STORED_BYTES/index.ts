/**
 * Largest body of a response that is stored in an idempotency record. It bounds the log; answers of bookings are far
 * smaller. A resend of a call with a larger response gets `outcome-unknown` with `reason: 'response-too-large'`.
 */
export const MAX_STORED_BYTES = 16 * 1024
