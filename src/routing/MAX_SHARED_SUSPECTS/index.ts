/** Number of suspected prompt parts that a scheduler and a router tell each other; bounds the reply to each load report. */
export const MAX_SHARED_SUSPECTS = 64
