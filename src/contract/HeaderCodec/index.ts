import type { RequestMetadata } from '../RequestMetadata'

/** Raw headers as Node.js and undici represent them: an array that alternates names and values. */
type RawHeaders = readonly string[]

interface TargetHeaderOptions {
  /** Milliseconds until the request's deadline. */
  remainingMs: number
  targetId: string
  account: string | undefined
  /** Id of the event after which the target resumes a stream. */
  lastEventId: string | undefined
  /** Replaces the caller's trace context, which is forwarded if this value is undefined. */
  traceparent?: string
}

/**
 * @name HeaderCodec
 * @category Contract
 * @summary Reads and creates the HTTP headers of requests and responses, with the header names of the platform.
 *
 * @example
 * const metadata = codec.readRequestHeaders(request.headers)
 */
export interface HeaderCodec {
  /** Reads the API key of a caller's request. The names in `headers` are in lower case. */
  readApiKey: (headers: Readonly<Record<string, string | string[] | undefined>>) => string | undefined
  /** Reads the headers of a caller's request. The names in `headers` are in lower case. */
  readRequestHeaders: (headers: Readonly<Record<string, string | string[] | undefined>>) => RequestMetadata
  /**
   * Selects the headers of the caller that are forwarded to a target, without those that the router sets itself, and
   * adds the router's own.
   */
  createTargetHeaders: (rawHeaders: RawHeaders, options: TargetHeaderOptions) => string[]
  /** Reads the headers of a target's response. */
  readResponseHeaders: (headers: Readonly<Record<string, string | string[] | undefined>>) => {
    /** Id of the request that the response belongs to. */
    callId?: string
    /** Whether the target signed the response. */
    isSigned: boolean
    /** Whether the target states that it did not run the request. */
    isNotRun: boolean
    /** Seconds that the target asks to wait before a retry. */
    retryAfterS?: number
  }
}
