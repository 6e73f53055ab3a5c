/** An observer reports with each long poll of 2 s; after three missed reports it no longer counts as live. */
export const OBSERVER_TIMEOUT_MS = 6_500
