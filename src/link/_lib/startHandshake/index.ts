import { randomBytes, timingSafeEqual } from 'node:crypto'
import type { Socket } from 'node:net'
import { AppError } from '../../../contract/AppError'
import { convertToAppError } from '../../../contract/convertToAppError'
import { FrameDecoder } from '../../FrameDecoder'
import { Link } from '../../Link'
import type { LinkOptions } from '../../LinkOptions'
import { encodeFrame } from '../../encodeFrame'
import { computeProof } from '../computeProof'
import { HelloMessage } from '../HelloMessage'
import { ProofMessage } from '../ProofMessage'

const HANDSHAKE_TIMEOUT_MS = 5_000
const NONCE_BYTES = 16

type Side = 'client' | 'server'

/** The handshake as a generator: each `yield` waits for the next message of the peer. Returns its identity and nonce. */
function * runHandshake (socket: Socket, side: Side, options: LinkOptions): Generator<undefined, HelloMessage[2], unknown> {
  const nonce = randomBytes(NONCE_BYTES).toString('hex')
  socket.write(encodeFrame(['hello', 0, { ...options.identity, nonce }]))
  const hello = HelloMessage.safeParse(yield)
  if (!hello.success) throw new AppError('frame-invalid', 'The first message of the peer is not a valid hello.')
  const peer = hello.data[2]
  const [clientNonce, serverNonce] = side === 'client' ? [nonce, peer.nonce] : [peer.nonce, nonce]
  socket.write(encodeFrame(['proof', 0, computeProof(options.clusterKey, side, clientNonce, serverNonce)]))
  const proof = ProofMessage.safeParse(yield)
  const expected = computeProof(options.clusterKey, side === 'client' ? 'server' : 'client', clientNonce, serverNonce)
  const isProven = proof.success && proof.data[2].length === expected.length && timingSafeEqual(proof.data[2], expected)
  if (!isProven) throw new AppError('cluster-key-mismatch', `${peer.instance} sent no valid proof of the cluster key.`)
  return peer
}

/** Authenticates the peer of a new connection, then hands each message to the link. */
export function startHandshake (socket: Socket, side: Side, options: LinkOptions): void {
  const decoder = new FrameDecoder()
  const handshake = runHandshake(socket, side, options)
  let link: Link | undefined
  const timer = setTimeout(() => socket.destroy(), HANDSHAKE_TIMEOUT_MS)
  socket.setNoDelay(true)
  socket.setKeepAlive(true, HANDSHAKE_TIMEOUT_MS)
  socket.on('error', () => socket.destroy())
  socket.on('close', () => clearTimeout(timer))
  handshake.next()
  const handleMessage = (message: unknown): void => {
    if (link) return link.handleMessage(message)
    const step = handshake.next(message)
    if (!step.done) return
    clearTimeout(timer)
    link = new Link(socket, step.value, options.handlers)
    options.onLink?.(link)
  }
  socket.on('data', chunk => {
    try {
      for (const message of decoder.read(chunk)) handleMessage(message)
    } catch (thrown) {
      options.onError?.(convertToAppError(thrown))
      socket.destroy()
    }
  })
  socket.on('end', () => {
    if (decoder.pendingBytes > 0) options.onError?.(new AppError('frame-invalid', 'The connection ended inside a frame.'))
    socket.destroy()
  })
}
