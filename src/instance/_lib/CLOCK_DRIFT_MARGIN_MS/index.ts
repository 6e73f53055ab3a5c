/** Added to the lease on the control side, because the monotonic clocks of two instances differ in speed. */
export const CLOCK_DRIFT_MARGIN_MS = 1_000
