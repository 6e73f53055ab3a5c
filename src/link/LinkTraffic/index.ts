import type { Link } from '../Link'

interface Traffic {
  bytesSent: number
  bytesReceived: number
}

/**
 * @name LinkTraffic
 * @category Link
 * @summary Counts the bytes over all links of a process, including closed ones.
 *
 * @example
 * const traffic = new LinkTraffic()
 * const client = new LinkClient(address, { ...options, onLink: link => traffic.add(link) })
 * traffic.computeTotal() // { bytesSent: 0, bytesReceived: 0 }
 */
export class LinkTraffic {
  readonly #links = new Set<Link>()
  #closedTotal: Traffic = { bytesSent: 0, bytesReceived: 0 }

  add (link: Link): void {
    this.#links.add(link)
    link.onClose(() => {
      this.#links.delete(link)
      this.#closedTotal = addTraffic(this.#closedTotal, link.traffic)
    })
  }

  computeTotal (): Traffic {
    return [...this.#links].map(link => link.traffic).reduce(addTraffic, this.#closedTotal)
  }
}

function addTraffic (a: Traffic, b: Traffic): Traffic {
  return { bytesSent: a.bytesSent + b.bytesSent, bytesReceived: a.bytesReceived + b.bytesReceived }
}
