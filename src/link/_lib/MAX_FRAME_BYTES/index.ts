/** Largest payload of a frame. Settings snapshots are the largest messages. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024
