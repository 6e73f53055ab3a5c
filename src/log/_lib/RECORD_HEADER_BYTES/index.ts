/** Magic number (2 bytes), length (4), CRC-32 (4), start of the batch in the file (4). */
export const RECORD_HEADER_BYTES = 14
