/**
 * A permit to leave the rotation lapses unless it is renewed within this time. A router whose event loop iterations take
 * 2 s sends a report and reads its reply in turn, and so renews its permit every 4 s.
 */
export const PERMIT_TTL_MS = 5_000
