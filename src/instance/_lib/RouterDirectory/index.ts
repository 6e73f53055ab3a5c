import type { PeerAddress } from '../../../contract/PeerAddress'

/** The other routers that are known now; the peer directory of the membership room is one. */
export interface RouterDirectory {
  list: () => readonly PeerAddress[]
}
