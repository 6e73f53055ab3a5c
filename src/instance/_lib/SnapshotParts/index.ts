import type { ReplicaMessage } from '../../../contract/ReplicaMessage'
import type { ReplicateRequest } from '../../../contract/ReplicateRequest'

/** Far below the largest frame, so that heartbeats don't wait long behind a part. */
const PART_BYTES = 1024 * 1024

type SnapshotMessage = Extract<ReplicaMessage, { type: 'installSnapshot' }>

/** Cuts snapshots into parts that fit into frames, and joins them on the other side. */
export class SnapshotParts {
  #message: SnapshotMessage | undefined
  #states: Uint8Array[] = []

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

  /** Returns the message once it is whole. A link delivers in order, so a gap means that the link was replaced. */
  accept ({ message, part }: ReplicateRequest): ReplicaMessage | undefined {
    if (!part || message.type !== 'installSnapshot') return message
    if (part.index === 0) this.#states = []
    const isNext = part.index === this.#states.length && (part.index === 0 || this.#isSame(message))
    if (!isNext) return undefined
    this.#message = message
    this.#states.push(message.snapshot.state)
    if (this.#states.length < part.count) return undefined
    const state = Buffer.concat(this.#states)
    this.#states = []
    return { ...message, snapshot: { ...message.snapshot, state } }
  }

  #isSame (message: SnapshotMessage): boolean {
    const known = this.#message
    return known?.from === message.from && known.term === message.term && known.snapshot.offset === message.snapshot.offset
  }
}
