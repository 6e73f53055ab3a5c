import type { Link } from '../Link'

interface Traffic {
  bytesSent: number
  bytesReceived: number
}

/**
 * @name LinkTraffic
 * @category Link
 * @summary Bytes over all links of a process, also over those that are closed.
 *
 * @example
 * const traffic = new LinkTraffic()
 * const client = new LinkClient(address, { ...options, onLink: link => traffic.add(link) })
 * traffic.computeTotal() // { bytesSent: 0, bytesReceived: 0 }
 */
export class LinkTraffic {
  readonly #links = new Set<Link>()
  #closed: Traffic = { bytesSent: 0, bytesReceived: 0 }

  add (link: Link): void {
    this.#links.add(link)
    link.onClose(() => {
      this.#links.delete(link)
      this.#closed = addTraffic(this.#closed, link.traffic)
    })
  }

  computeTotal (): Traffic {
    return [...this.#links].map(link => link.traffic).reduce(addTraffic, this.#closed)
  }
}

function addTraffic (a: Traffic, b: Traffic): Traffic {
  return { bytesSent: a.bytesSent + b.bytesSent, bytesReceived: a.bytesReceived + b.bytesReceived }
}
