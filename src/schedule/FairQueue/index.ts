import { AccountLedger } from '../AccountLedger'
import { IndexedHeap } from '../IndexedHeap'

interface FairQueueItemOptions {
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

const UNNAMED_ACCOUNT = ''

/**
 * @name FairQueue
 * @category Schedule
 * @summary Queue that gives each account its weighted share; also usable as the queue class of p-queue.
 *
 * @description
 * `dequeue` takes the oldest item of the account with the least cost taken so far divided by its weight. An account
 * that returns after being idle starts level with the account that is furthest behind, so idle time earns no credit.
 * Items of one account keep their order. Each operation is logarithmic in the number of accounts with items.
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
  readonly #order = new IndexedHeap<string>()
  readonly #items = new Map<string, Map<string, Item<Element>>>()
  #size = 0
  #nextId = 0
  /** Normalised service of the account that was served last, at that time. An account that returns starts no lower. */
  #virtualTime = 0

  constructor (options: FairQueueOptions = {}) {
    this.#ledger = new AccountLedger({ zone: UNNAMED_ACCOUNT, getWeight: options.getWeight ?? (() => 1) })
  }

  get size (): number {
    return this.#size
  }

  countItems (account: string): number {
    return this.#items.get(account)?.size ?? 0
  }

  enqueue (element: Element, options: Partial<FairQueueItemOptions> = {}): void {
    const item = { element, id: options.id ?? `item-${this.#nextId++}`, account: options.account ?? UNNAMED_ACCOUNT, cost: options.cost ?? 1 }
    const items = this.#items.get(item.account)
    if (items) items.set(item.id, item)
    else this.#addAccount(item)
    this.#size++
  }

  dequeue (): Element | undefined {
    const account = this.#order.peek()
    return account === undefined ? undefined : this.dequeueFrom(account)
  }

  /** Takes the oldest item of an account that meets the condition. */
  dequeueFrom (account: string, isEligible: (id: string) => boolean = () => true): Element | undefined {
    for (const item of this.#items.get(account)?.values() ?? []) {
      if (!isEligible(item.id)) continue
      this.remove(account, item.id)
      this.#virtualTime = Math.max(this.#virtualTime, this.#ledger.getNormalised(account))
      this.#ledger.settle(account, { charged: 0, cost: item.cost })
      if (this.#order.has(account)) this.#order.set(account, this.#ledger.getNormalised(account))
      return item.element
    }
    return undefined
  }

  /** Removes an item that must not run any more, for example because its caller left. */
  remove (account: string, id: string): boolean {
    const items = this.#items.get(account)
    if (!items?.delete(id)) return false
    this.#size--
    if (items.size === 0) {
      this.#items.delete(account)
      this.#order.remove(account)
    }
    return true
  }

  filter (options: Readonly<Partial<FairQueueItemOptions>> = {}): Element[] {
    const accounts = options.account === undefined ? [...this.#items.keys()] : [options.account]
    return accounts.flatMap(account => [...this.#items.get(account)?.values() ?? []].map(item => item.element))
  }

  /** Required by p-queue. The fair order has no priorities, so that this has no effect. */
  setPriority (): void {}

  #addAccount (item: Item<Element>): void {
    const first = this.#order.peek()
    this.#ledger.raise(item.account, first === undefined ? this.#virtualTime : this.#ledger.getNormalised(first))
    this.#items.set(item.account, new Map([[item.id, item]]))
    this.#order.set(item.account, this.#ledger.getNormalised(item.account))
  }
}
