import type { ServerResponse } from 'node:http'

/** Sends a response with a JSON body. */
export function sendJson (response: ServerResponse, value: unknown, status = 200): void {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }).end(body)
}
