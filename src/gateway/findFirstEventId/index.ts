/**
 * @name findFirstEventId
 * @category Gateway
 * @summary Finds the first event id in the bytes of a server-sent event stream.
 *
 * @param bytes - Complete events.
 * @returns The id; undefined if no event has one.
 *
 * @example
 * findFirstEventId(Buffer.from('id: 4\ndata: x\n\n')) // '4'
 */
export function findFirstEventId (bytes: Buffer): string | undefined {
  return /^id:(.*)$/m.exec(bytes.toString('latin1'))?.[1].trim()
}
