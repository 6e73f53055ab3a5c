/** Lease of a router's session with the control leader, in milliseconds. */
export const SESSION_LEASE_MS = 5_000
