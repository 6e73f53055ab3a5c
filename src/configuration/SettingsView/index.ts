import { ClientAccount } from '../../contract/ClientAccount'
import { MaintenanceWindow } from '../../contract/MaintenanceWindow'
import { Service } from '../../contract/Service'
import { Target } from '../../contract/Target'
import type { SettingsTree } from '../SettingsTree'

type Named<T> = T & { name: string }

/**
 * @name SettingsView
 * @category Configuration
 * @summary Typed and indexed view of the settings tree.
 *
 * @description
 * `update` parses only the values that changed since the last update, which keeps it cheap with thousands of accounts.
 * Look-ups take constant time. The tree has already validated the values.
 *
 * @example
 * view.update(tree)
 * view.listTargets('llama').map(target => target.url)
 */
export class SettingsView {
  #offset = 0
  /** Values at the last update, by path; compared by identity, as the tree keeps the object of an unchanged value. */
  #previousValues = new Map<string, unknown>()
  readonly #accounts = new Map<string, Named<ClientAccount>>()
  readonly #accountByKeyHash = new Map<string, Named<ClientAccount>>()
  readonly #services = new Map<string, Named<Service>>()
  readonly #targets = new Map<string, Named<Target>>()
  readonly #targetsByService = new Map<string, Array<Named<Target>>>()
  readonly #windows = new Map<string, Named<MaintenanceWindow>>()
  readonly #drainedTargets = new Set<string>()
  readonly #listeners = new Set<() => void>()

  /** Log offset of the newest change in this view. */
  get offset (): number {
    return this.#offset
  }

  getAccount (name: string): Named<ClientAccount> | undefined {
    return this.#accounts.get(name)
  }

  findAccountByKeyHash (keyHash: string): Named<ClientAccount> | undefined {
    return this.#accountByKeyHash.get(keyHash)
  }

  getService (name: string): Named<Service> | undefined {
    return this.#services.get(name)
  }

  getTarget (name: string): Named<Target> | undefined {
    return this.#targets.get(name)
  }

  listAccounts (): Array<Named<ClientAccount>> {
    return [...this.#accounts.values()]
  }

  listServices (): Array<Named<Service>> {
    return [...this.#services.values()]
  }

  listTargets (service: string): ReadonlyArray<Named<Target>> {
    return this.#targetsByService.get(service) ?? []
  }

  listAllTargets (): Array<Named<Target>> {
    return [...this.#targets.values()]
  }

  listWindows (): ReadonlyArray<Named<MaintenanceWindow>> {
    return [...this.#windows.values()]
  }

  isDrainedByOperator (target: string): boolean {
    return this.#drainedTargets.has(target)
  }

  /** Calls the listener after each update; returns a function that removes it. */
  subscribe (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  update (tree: SettingsTree): void {
    this.#offset = tree.offset
    const current = new Map(tree.list('/teams'))
    for (const [path, value] of this.#previousValues) {
      if (current.get(path) !== value) this.#remove(path)
    }
    for (const [path, value] of current) {
      if (this.#previousValues.get(path) !== value) this.#add(path, value)
    }
    this.#previousValues = current
    for (const listener of this.#listeners) listener()
  }

  #add (path: string, value: unknown): void {
    const [, , , kind, name] = path.split('/')
    if (kind === 'accounts') this.#addAccount({ ...ClientAccount.parse(value), name })
    else if (kind === 'services') this.#services.set(name, { ...Service.parse(value), name })
    else if (kind === 'targets') this.#addTarget({ ...Target.parse(value), name })
    else if (kind === 'windows') this.#windows.set(path, { ...MaintenanceWindow.parse(value), name })
    else if (kind === 'drains') this.#drainedTargets.add(name)
  }

  #remove (path: string): void {
    const [, , , kind, name] = path.split('/')
    if (kind === 'accounts') this.#removeAccount(name)
    else if (kind === 'services') this.#services.delete(name)
    else if (kind === 'targets') this.#removeTarget(name)
    else if (kind === 'windows') this.#windows.delete(path)
    else if (kind === 'drains') this.#drainedTargets.delete(name)
  }

  #addAccount (account: Named<ClientAccount>): void {
    this.#accounts.set(account.name, account)
    for (const keyHash of account.keyHashes) this.#accountByKeyHash.set(keyHash, account)
  }

  #removeAccount (name: string): void {
    for (const keyHash of this.#accounts.get(name)?.keyHashes ?? []) {
      if (this.#accountByKeyHash.get(keyHash)?.name === name) this.#accountByKeyHash.delete(keyHash)
    }
    this.#accounts.delete(name)
  }

  #addTarget (target: Named<Target>): void {
    this.#targets.set(target.name, target)
    this.#targetsByService.set(target.service, [...this.listTargets(target.service), target])
  }

  #removeTarget (name: string): void {
    const target = this.#targets.get(name)
    if (!target) return
    this.#targets.delete(name)
    this.#targetsByService.set(target.service, this.listTargets(target.service).filter(other => other.name !== name))
  }
}
