import type { Readable } from 'node:stream'

/**
 * @name TargetResponse
 * @category Target
 * @summary Status and headers of a target's response, and its body as a stream.
 *
 * @example
 * const { status, body }: TargetResponse = await client.dispatch(request)
 */
export interface TargetResponse {
  status: number
  headers: Record<string, string | string[] | undefined>
  body: Readable
}
