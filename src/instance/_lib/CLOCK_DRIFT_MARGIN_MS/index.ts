/** Added to the lease at the control side, for the difference in speed of the monotonic clocks. */
export const CLOCK_DRIFT_MARGIN_MS = 1_000
