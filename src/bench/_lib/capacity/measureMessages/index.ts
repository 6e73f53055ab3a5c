import { encodeFrame } from '../../../../link/encodeFrame'
import { FrameDecoder } from '../../../../link/FrameDecoder'
import { decodePeerMessage } from '../../../../schedule/decodePeerMessage'
import { encodeGrants } from '../../../../schedule/encodeGrants'
import { encodeHeartbeat } from '../../../../schedule/encodeHeartbeat'
import { encodePeerMessage } from '../../../../schedule/encodePeerMessage'
import { encodeRouterBatch } from '../../../../schedule/encodeRouterBatch'
import { NameDecoder } from '../../../../schedule/NameDecoder'
import { NameEncoder } from '../../../../schedule/NameEncoder'
import type { PeerMessage } from '../../../../schedule/PeerMessage'
import { ZoneScheduler } from '../../../../schedule/ZoneScheduler'
import { measureCpuMs } from '../../measureCpuMs'
import type { Slope } from '../../Slope'

const CHANGED = [25, 50, 100, 200, 400]
const REQUESTS = [100, 200, 400, 800]
const REPEATS = 50
/** Requests/s of an availability zone: 7,000 over 16. */
const ZONE_RATE = 437.5
/** Each request changes the account's state at the grant and at the end; accounts are many, so changes rarely coincide. */
const CHANGES_PER_REQUEST = 2
const EXCHANGE_INTERVAL_S = 0.2
const REPLICATE_INTERVAL_S = 4

/** Size of the messages of the scheduling, and the time that an exchange takes at both ends. */
export async function measureMessages (): Promise<Slope[]> {
  const changedPerExchange = Math.round(ZONE_RATE * CHANGES_PER_REQUEST * EXCHANGE_INTERVAL_S)
  const cpu: Array<[number, number]> = []
  for (const changed of CHANGED) cpu.push([changed, await measureExchangeCpu(changed)])
  return [
    { role: 'zone scheduler', quantity: 'bytes of an exchange to one peer', unit: 'bytes', per: 'accounts that changed', points: CHANGED.map(changed => [changed, measureExchangeBytes(changed)]), atSize: changedPerExchange },
    { role: 'zone scheduler', quantity: 'CPU of an exchange (encode, decode, merge)', unit: 'µs', per: 'accounts that changed', points: cpu, atSize: changedPerExchange },
    { role: 'zone scheduler', quantity: 'bytes of the ledger copy to one router', unit: 'bytes', per: 'accounts that changed', points: CHANGED.map(changed => [changed, measureReplicaBytes(changed)]), atSize: Math.round(ZONE_RATE * REPLICATE_INTERVAL_S) },
    { role: 'router', quantity: 'bytes to and from the scheduler, one request a message', unit: 'bytes', per: 'requests', points: REQUESTS.map(requests => [requests, measureRequestBytes(requests)]), atSize: 22 }
  ]
}

function createMessage (changed: number, round: number): PeerMessage {
  const operations = Array.from({ length: changed }, (_, index) => ({
    type: 'account' as const, service: `model-${index % 7}`, account: `account-${index}`, total: 5_000_000 + index * 97 + round, outstanding: 250, waiting: index % 3, lift: 120_000
  }))
  return { term: 3, session: 1, echoedSession: 1, lastLendId: 1_000, operations }
}

/** Size of a message once its names have numbers. */
function measureExchangeBytes (changed: number): number {
  const names = new NameEncoder()
  encodePeerMessage(createMessage(changed, 0), names)
  return encodeFrame(['exchange', 0, encodePeerMessage(createMessage(changed, 1), names)]).length
}

async function measureExchangeCpu (changed: number): Promise<number> {
  const names = new NameEncoder()
  const decoder = new NameDecoder()
  const frames = new FrameDecoder()
  const scheduler = new ZoneScheduler({ zone: 'zone-0', term: 1, getWeight: () => 1, isTargetOpen: () => true })
  let round = 0
  const cpuMs = await measureCpuMs(() => {
    for (let count = 0; count < REPEATS; count++) {
      const frame = encodeFrame(['exchange', 0, encodePeerMessage(createMessage(changed, round++), names)])
      for (const message of frames.read(frame)) {
        const peerMessage = decodePeerMessage((message as unknown[])[2], decoder)
        for (const effect of scheduler.handlePeerMessage(round * 200, 'zone-1', 'router-1', peerMessage)) void effect
      }
    }
  })
  return cpuMs * 1_000 / REPEATS
}

function measureReplicaBytes (changed: number): number {
  const names = new NameEncoder()
  const ledger = Array.from({ length: changed }, (_, index) => ({ service: `model-${index % 7}`, account: `account-${index}`, zone: 'zone-0', total: 5_000_000 + index, lift: 120_000 }))
  const encode = (): Buffer => encodeFrame(['zoneHeartbeat', 0, encodeHeartbeat({ term: 3, isLeaving: false, ledger }, names)])
  encode()
  return encode().length
}

/** A queue message for the new request, one for its end, and the grant. */
function measureRequestBytes (requests: number): number {
  const [toScheduler, toRouter] = [new NameEncoder(), new NameEncoder()]
  let bytes = 0
  for (let id = 1; id <= requests + 50; id++) {
    const [account, service] = [`account-${id % 50}`, `model-${id % 7}`]
    const grant = { id: 10_000 + id, account, service, target: `runner-${id % 50}`, estimate: 250, expiresInMs: 1_000 }
    const frames = [
      ['queue', 0, encodeRouterBatch({ session: 1, lastGrantId: grant.id, operations: [{ type: 'backlog', account, service, waiting: 1, estimate: 250 }] }, toScheduler)],
      ['queue', 0, encodeRouterBatch({ session: 1, lastGrantId: grant.id, operations: [{ type: 'release', id: grant.id, cost: 243.5, isHealthy: true }] }, toScheduler)],
      ['grant', 0, encodeGrants(1, [grant], toRouter)]
    ]
    // The first messages also define the names.
    if (id > 50) bytes += frames.reduce((sum, frame) => sum + encodeFrame(frame).length, 0)
  }
  return bytes
}
