import type { PeerAddress } from '../../../contract/PeerAddress'

/** The other routers that are known now. A membership view can take the place of the list from the settings file. */
export interface RouterDirectory {
  listRouters: () => readonly PeerAddress[]
}
