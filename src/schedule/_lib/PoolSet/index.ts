import type { RouterReport } from '../../RouterReport'
import { ServicePool } from '../../ServicePool'

interface PoolSetOptions {
  zone: string
  getWeight: (account: string) => number
  isTargetOpen: (target: string) => boolean
}

/**
 * The pools of all services in one zone. Records the services and accounts that changed since the last call of each
 * `take` method.
 */
export class PoolSet {
  readonly zone: string
  readonly #options: PoolSetOptions
  readonly #pools = new Map<string, ServicePool>()
  readonly #changedServices = new Set<string>()
  readonly #changedAccounts = new Map<string, Set<string>>()
  readonly #unreplicatedAccounts = new Map<string, Set<string>>()

  constructor (options: PoolSetOptions) {
    this.zone = options.zone
    this.#options = options
  }

  get (service: string): ServicePool {
    let pool = this.#pools.get(service)
    if (!pool) {
      pool = new ServicePool(this.#options)
      this.#pools.set(service, pool)
    }
    return pool
  }

  list (): Iterable<ServicePool> {
    return this.#pools.values()
  }

  listEntries (): Iterable<[service: string, pool: ServicePool]> {
    return this.#pools.entries()
  }

  setTargets (targets: ReadonlyArray<{ name: string, service: string, slots: number }>): void {
    const targetsByService = new Map<string, Array<{ name: string, slots: number }>>()
    for (const service of this.#pools.keys()) targetsByService.set(service, [])
    for (const target of targets) targetsByService.set(target.service, [...targetsByService.get(target.service) ?? [], target])
    for (const [service, serviceTargets] of targetsByService) {
      this.get(service).targets.setTargets(serviceTargets)
      this.#changedServices.add(service)
    }
  }

  charge (service: string, account: string, cost: number): void {
    const pool = this.get(service)
    pool.ledger.charge(account, cost)
    pool.updateOrder(account)
    this.addChange(service, account)
  }

  settle (service: string, account: string, amount: { charged: number, cost: number }): void {
    const pool = this.get(service)
    pool.ledger.settle(account, amount)
    pool.observeCost(account, amount.cost)
    pool.updateOrder(account)
    this.addChange(service, account)
  }

  mergeLedger (entries: RouterReport['ledger']): void {
    for (const { service, account, ...entry } of entries) {
      const pool = this.get(service)
      if (!pool.ledger.merge(account, entry)) continue
      pool.updateOrder(account)
      this.addChange(service, account)
    }
  }

  addChange (service: string, account: string): void {
    this.#changedServices.add(service)
    addToSet(this.#changedAccounts, service, account)
    addToSet(this.#unreplicatedAccounts, service, account)
  }

  addServiceChange (service: string): void {
    this.#changedServices.add(service)
  }

  takeChangedServices (): string[] {
    const services = [...this.#changedServices]
    this.#changedServices.clear()
    return services
  }

  takeChangedAccounts (): Array<[service: string, accounts: Set<string>]> {
    const changed = [...this.#changedAccounts]
    this.#changedAccounts.clear()
    return changed
  }

  /**
   * Returns the ledger entries of this zone for the accounts that changed since the last call. Entries of other zones
   * are left out, because the schedulers of those zones have the originals.
   */
  takeUnreplicatedEntries (): RouterReport['ledger'] {
    const entries: RouterReport['ledger'] = []
    for (const [service, accounts] of this.#unreplicatedAccounts) {
      const { ledger } = this.get(service)
      for (const account of accounts) {
        const { zone, total, lift } = ledger.getEntry(account)
        entries.push({ service, account, zone, total, lift })
      }
    }
    this.#unreplicatedAccounts.clear()
    return entries
  }
}

function addToSet (map: Map<string, Set<string>>, key: string, value: string): void {
  const values = map.get(key)
  if (values) values.add(value)
  else map.set(key, new Set([value]))
}
