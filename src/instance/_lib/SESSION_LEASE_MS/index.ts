/** Duration of the lease that the control leader grants to a router's session, in milliseconds. */
export const SESSION_LEASE_MS = 5_000
