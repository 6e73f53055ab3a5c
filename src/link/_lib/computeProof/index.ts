import { createHmac } from 'node:crypto'

/** Proves knowledge of the cluster key. It includes the side, so that a proof can't be reflected to its sender. */
export function computeProof (clusterKey: string, side: 'client' | 'server', clientNonce: string, serverNonce: string): Buffer {
  return createHmac('sha256', clusterKey).update(`${side}:${clientNonce}:${serverNonce}`).digest()
}
