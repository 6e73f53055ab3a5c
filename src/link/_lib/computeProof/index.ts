import { createHmac } from 'node:crypto'

/** Proof of knowing the cluster key. The side is part of it, so that a proof can't be sent back to its author. */
export function computeProof (clusterKey: string, side: 'client' | 'server', clientNonce: string, serverNonce: string): Buffer {
  return createHmac('sha256', clusterKey).update(`${side}:${clientNonce}:${serverNonce}`).digest()
}
