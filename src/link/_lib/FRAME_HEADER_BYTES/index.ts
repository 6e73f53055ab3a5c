/** Size of a frame header: payload length (4 bytes) and protocol version (1 byte). */
export const FRAME_HEADER_BYTES = 5
