/** First two bytes of each record, so that records behind a damaged one can be found. */
export const RECORD_MAGIC = 0xb10c
