import { AccountLedger } from '../AccountLedger'
import { IndexedHeap } from '../IndexedHeap'

interface FairQueueItemOptions {
  /** Identifies the item within its account for `remove`. */
  id: string
  account: string
  /** Expected cost in any unit that all items share. */
  cost: number
}

interface FairQueueOptions {
  getWeight?: (account: string) => number
}

interface Item<Element> {
  id: string
  account: string
  cost: number
  element: Element
}

/** Account of items that name none. It also serves as the name of the only zone of the ledger. */
const UNNAMED_ACCOUNT = ''

/**
 * @name FairQueue
 * @category Schedule
 * @summary Weighted fair queue over accounts; also usable as the queue class of p-queue.
 *
 * @description
 * `dequeue` takes the oldest item of the account with the lowest normalised service, which is the dequeued cost divided
 * by the weight. An account that returns after being idle starts no lower than the lowest queued account, so idle time
 * earns no credit. Items of one account keep their order. Each operation is logarithmic in the number of accounts with
 * items.
 *
 * @param options - Weight of an account; 1 if not given.
 *
 * @example
 * const queue = new FairQueue<string>()
 * queue.enqueue('long', { account: 'a', cost: 9, id: '1' })
 * queue.enqueue('short', { account: 'b', cost: 1, id: '2' })
 * queue.dequeue() // 'long'
 */
export class FairQueue<Element> {
  readonly #ledger: AccountLedger
  /** Accounts with items, lowest normalised service first. */
  readonly #lowestFirst = new IndexedHeap<string>()
  readonly #itemsByAccount = new Map<string, Map<string, Item<Element>>>()
  #size = 0
  #nextId = 0
  /** Highest normalised service at which an account was served. An account that enters an empty queue starts no lower. */
  #virtualTime = 0

  constructor (options: FairQueueOptions = {}) {
    this.#ledger = new AccountLedger({ zone: UNNAMED_ACCOUNT, getWeight: options.getWeight ?? (() => 1) })
  }

  get size (): number {
    return this.#size
  }

  countItems (account: string): number {
    return this.#itemsByAccount.get(account)?.size ?? 0
  }

  enqueue (element: Element, options: Partial<FairQueueItemOptions> = {}): void {
    const item = { element, id: options.id ?? `item-${this.#nextId++}`, account: options.account ?? UNNAMED_ACCOUNT, cost: options.cost ?? 1 }
    const items = this.#itemsByAccount.get(item.account)
    if (items) items.set(item.id, item)
    else this.#addAccount(item)
    this.#size++
  }

  dequeue (): Element | undefined {
    const account = this.#lowestFirst.peek()
    return account === undefined ? undefined : this.dequeueFrom(account)
  }

  /** Dequeues the oldest eligible item of an account. */
  dequeueFrom (account: string, isEligible: (id: string) => boolean = () => true): Element | undefined {
    for (const item of this.#itemsByAccount.get(account)?.values() ?? []) {
      if (!isEligible(item.id)) continue
      this.remove(account, item.id)
      this.#virtualTime = Math.max(this.#virtualTime, this.#ledger.getNormalisedService(account))
      this.#ledger.settle(account, { charged: 0, cost: item.cost })
      if (this.#lowestFirst.has(account)) this.#lowestFirst.set(account, this.#ledger.getNormalisedService(account))
      return item.element
    }
    return undefined
  }

  /** Removes an item that must not run any more, for example because its caller disconnected. */
  remove (account: string, id: string): boolean {
    const items = this.#itemsByAccount.get(account)
    if (!items?.delete(id)) return false
    this.#size--
    if (items.size === 0) {
      this.#itemsByAccount.delete(account)
      this.#lowestFirst.remove(account)
    }
    return true
  }

  filter (options: Readonly<Partial<FairQueueItemOptions>> = {}): Element[] {
    const accounts = options.account === undefined ? [...this.#itemsByAccount.keys()] : [options.account]
    return accounts.flatMap(account => [...this.#itemsByAccount.get(account)?.values() ?? []].map(item => item.element))
  }

  /** Required by p-queue. It has no effect, because the fair order has no priorities. */
  setPriority (): void {}

  #addAccount (item: Item<Element>): void {
    const lowest = this.#lowestFirst.peek()
    this.#ledger.raise(item.account, lowest === undefined ? this.#virtualTime : this.#ledger.getNormalisedService(lowest))
    this.#itemsByAccount.set(item.account, new Map([[item.id, item]]))
    this.#lowestFirst.set(item.account, this.#ledger.getNormalisedService(item.account))
  }
}
