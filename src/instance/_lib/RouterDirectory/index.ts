import type { PeerAddress } from '../../../contract/PeerAddress'

/** The other routers that are known now. `PeerDirectory` implements this. */
export interface RouterDirectory {
  list: () => readonly PeerAddress[]
}
