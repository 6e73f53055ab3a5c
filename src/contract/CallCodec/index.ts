import type { CallFacts } from '../CallFacts'

/** Headers as Node.js and undici hand them out: names and values in turn. */
type RawHeaders = readonly string[]

interface TargetHeaderOptions {
  remainingMs: number
  targetId: string
  account: string | undefined
  lastEventId: string | undefined
  /** Replaces the caller's trace context; undefined: the caller's is passed on. */
  traceparent?: string
}

/**
 * @name CallCodec
 * @category Contract
 * @summary The headers of callers and targets, in the names of the platform.
 *
 * @description
 * `readCall` reads the headers of a caller by lower-case name. `createTargetHeaders` selects the headers that a target
 * gets, without those that the router sets itself, and adds those. `readAnswer` tells which request an answer belongs
 * to, whether the target signed it, whether the target says that it did not run the request, and the wait that it
 * asks for.
 *
 * @example
 * const facts = codec.readCall(request.headers)
 */
export interface CallCodec {
  readCall: (headers: Readonly<Record<string, string | string[] | undefined>>) => CallFacts
  createTargetHeaders: (rawHeaders: RawHeaders, options: TargetHeaderOptions) => string[]
  readAnswer: (headers: Readonly<Record<string, string | string[] | undefined>>) => { callId?: string, isSigned: boolean, isNotRun: boolean, retryAfterS?: number }
}
