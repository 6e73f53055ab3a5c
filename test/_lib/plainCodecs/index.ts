import { AppError } from '../../../src/contract/AppError'
import type { HeaderCodec } from '../../../src/contract/HeaderCodec'
import type { DocumentCodec } from '../../../src/contract/DocumentCodec'
import { RouteDocument } from '../../../src/contract/RouteDocument'

type Headers = Readonly<Record<string, string | string[] | undefined>>
const getHeader = (headers: Headers, name: string) => headers[name] as string | undefined

/** Codecs with platform-neutral header names, so that the gateway is tested without any platform. */
export const plainCodecs: { documents: DocumentCodec, calls: HeaderCodec } = {
  documents: {
    decode (content) {
      try {
        return RouteDocument.parse(JSON.parse(new TextDecoder().decode(content)))
      } catch (cause) {
        throw new AppError('invalid-settings', 'The document is not valid.', { cause })
      }
    },
    decodeStored: content => RouteDocument.parse(JSON.parse(new TextDecoder().decode(content)))
  },
  calls: {
    readApiKey: headers => getHeader(headers, 'key'),
    readRequestHeaders: headers => ({
      id: getHeader(headers, 'call-id') ?? '',
      apiKey: getHeader(headers, 'key'),
      deadlineMs: headers['deadline-ms'] === undefined ? undefined : Number(headers['deadline-ms']),
      parts: (getHeader(headers, 'parts') ?? '').split(',').filter(Boolean).map(part => ({ id: part, tokens: 100 })),
      promptTokens: 200,
      outputTokens: 10,
      lastEventId: getHeader(headers, 'last-event-id'),
      traceparent: getHeader(headers, 'traceparent'),
      unreadable: []
    }),
    createTargetHeaders (rawHeaders, { remainingMs, targetId, account, lastEventId, traceparent }) {
      const headers = ['deadline-ms', String(remainingMs), 'target', targetId]
      for (let i = 0; i < rawHeaders.length; i += 2) if (rawHeaders[i] === 'call-id') headers.push('call-id', rawHeaders[i + 1])
      if (account !== undefined) headers.push('account', account)
      if (lastEventId !== undefined) headers.push('last-event-id', lastEventId)
      if (traceparent !== undefined) headers.push('traceparent', traceparent)
      return headers
    },
    readResponseHeaders: headers => ({ callId: getHeader(headers, 'call-id'), isSigned: headers.signature !== undefined, isNotRun: headers['not-run'] !== undefined })
  }
}
