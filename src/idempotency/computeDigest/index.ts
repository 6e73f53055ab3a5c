import { createHash } from 'node:crypto'

/**
 * @name computeDigest
 * @category Idempotency
 * @summary Computes a digest that distinguishes a resend from another request with the same idempotency key.
 *
 * @param call - Method, service, path and body.
 * @returns SHA-256 in hexadecimal.
 *
 * @example
 * computeDigest({ method: 'POST', service: 'booking', path: '/bookings', body: Buffer.from('{}') })
 */
export function computeDigest (call: { method: string, service: string, path: string, body?: Buffer }): string {
  const head = JSON.stringify([call.method, call.service, call.path])
  return createHash('sha256').update(head).update('\n').update(call.body ?? '').digest('hex')
}
