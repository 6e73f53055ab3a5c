import { decode, encode } from 'cbor-x'
import { encodePeerMessage } from '.'
import { decodeGrants } from '../decodeGrants'
import { decodePeerMessage } from '../decodePeerMessage'
import { decodeRouterBatch } from '../decodeRouterBatch'
import { encodeGrants } from '../encodeGrants'
import { encodeRouterBatch } from '../encodeRouterBatch'
import { NameDecoder } from '../NameDecoder'
import { NameEncoder } from '../NameEncoder'
import type { PeerOperation } from '../PeerOperation'
import type { RouterOperation } from '../RouterOperation'

const transfer = (body: unknown): unknown => decode(encode(body))
const base = { service: 's', account: 'x' }
const peerOperations: PeerOperation[] = [
  { type: 'full' },
  { type: 'account', ...base, total: 1_000, outstanding: 3, waiting: 2, lift: 0.25, estimate: 7 },
  { type: 'usage', ...base, outstanding: 9, waiting: 0 },
  { type: 'copy', ...base, total: 5 },
  { type: 'held', ...base, id: 3, target: 'e', cost: 4 },
  { type: 'lend', ...base, id: 4, target: 'e' },
  { type: 'lendDeclined', id: 5 },
  { type: 'lendProgress', id: 6, cost: 7 },
  { type: 'lendReturned', id: 8, cost: 9, isHealthy: false }
]
const routerOperations: RouterOperation[] = [
  { type: 'backlog', ...base, waiting: 3, estimate: 10, prefixHash: 12, excluded: ['e'] },
  { type: 'release', id: 1, cost: 2, isHealthy: false },
  { type: 'release', id: 2, cost: 2, isHealthy: true },
  { type: 'decline', id: 3 },
  { type: 'start', id: 4, estimate: 5 },
  { type: 'progress', id: 4, cost: 6 }
]

describe('the positional messages', () => {
  it('carry every operation unchanged, with names defined once for each connection', () => {
    const [encoder, decoder] = [new NameEncoder(), new NameDecoder()]
    for (let round = 0; round < 2; round++) {
      const message = { term: 1, session: 2, echoedSession: 3, lastLendId: 4, operations: peerOperations }
      expect(decodePeerMessage(transfer(encodePeerMessage(message, encoder)), decoder)).toEqual(message)
      const batch = { session: 1, lastGrantId: 2, operations: routerOperations }
      expect(decodeRouterBatch(transfer(encodeRouterBatch(batch, encoder)), decoder)).toEqual(batch)
      const grants = [{ ...base, id: 1, target: 'e', estimate: 5 }, { ...base, id: 2, target: 'e', estimate: 5, lentBy: { zone: 'b', id: 1 } }]
      expect(decodeGrants(transfer(encodeGrants(7, grants, encoder)), decoder)).toEqual({ session: 7, grants })
    }
    expect(encoder.takeDefinitions()).toEqual([])
  })

  it('refuse a number that the connection did not define, so that no account is mistaken for another', () => {
    const body = transfer(encodeGrants(7, [{ ...base, id: 1, target: 'e', estimate: 5 }], new NameEncoder())) as [number, unknown[]]
    expect(() => decodeGrants([7, body[1].slice(-1)], new NameDecoder())).toThrow(expect.objectContaining({ kind: 'frame-invalid' }))
  })
})
