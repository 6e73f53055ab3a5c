import type { ReplicaMessage } from '../../../contract/ReplicaMessage'
import type { ReplicateRequest } from '../../../contract/ReplicateRequest'

/** Far below the maximum frame size, to limit head-of-line blocking of heartbeats by a part. */
const PART_BYTES = 1024 * 1024

type SnapshotMessage = Extract<ReplicaMessage, { type: 'installSnapshot' }>

/** Splits snapshots into parts that fit into frames, and reassembles them at the receiver. */
export class SnapshotParts {
  #lastMessage: SnapshotMessage | undefined
  #receivedParts: Uint8Array[] = []

  static * listParts (group: ReplicateRequest['group'], message: ReplicaMessage): Generator<ReplicateRequest> {
    if (message.type !== 'installSnapshot' || message.snapshot.state.length <= PART_BYTES) {
      yield { group, message }
      return
    }
    const { snapshot } = message
    const count = Math.ceil(snapshot.state.length / PART_BYTES)
    for (let index = 0; index < count; index++) {
      const state = snapshot.state.subarray(index * PART_BYTES, (index + 1) * PART_BYTES)
      yield { group, message: { ...message, snapshot: { ...snapshot, state } }, part: { index, count } }
    }
  }

  /** Returns the message once it is complete. A link delivers in order, so a gap means that the link was replaced. */
  accept ({ message, part }: ReplicateRequest): ReplicaMessage | undefined {
    if (!part || message.type !== 'installSnapshot') return message
    if (part.index === 0) this.#receivedParts = []
    const isNext = part.index === this.#receivedParts.length && (part.index === 0 || this.#isSameSnapshot(message))
    if (!isNext) return undefined
    this.#lastMessage = message
    this.#receivedParts.push(message.snapshot.state)
    if (this.#receivedParts.length < part.count) return undefined
    const state = Buffer.concat(this.#receivedParts)
    this.#receivedParts = []
    return { ...message, snapshot: { ...message.snapshot, state } }
  }

  #isSameSnapshot (message: SnapshotMessage): boolean {
    const known = this.#lastMessage
    return known?.from === message.from && known.term === message.term && known.snapshot.offset === message.snapshot.offset
  }
}
