/** Version of the protocol between instances. Frames of another version close the link. */
export const PROTOCOL_VERSION = 1
