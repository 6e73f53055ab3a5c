/**
 * Largest response body that is stored in an idempotency record. Bounds the size of the log; responses to bookings are
 * far smaller. A resend of a call with a larger response gets `outcome-unknown` with `reason: 'response-too-large'`.
 */
export const MAX_STORED_BYTES = 16 * 1024
