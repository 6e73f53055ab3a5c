/** Length (4 bytes) and protocol version (1 byte). */
export const FRAME_HEADER_BYTES = 5
