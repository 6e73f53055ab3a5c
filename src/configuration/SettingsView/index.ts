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
 * Rebuilt by `update` after changes; look-ups take constant time. Values are checked by the tree already.
 *
 * @example
 * view.update(tree)
 * view.listTargets('llama').map(target => target.url)
 */
export class SettingsView {
  #offset = 0
  #accounts = new Map<string, Named<ClientAccount>>()
  #accountByKeyHash = new Map<string, Named<ClientAccount>>()
  #services = new Map<string, Named<Service>>()
  #targets = new Map<string, Named<Target>>()
  #targetsByService = new Map<string, Array<Named<Target>>>()
  #windows: Array<Named<MaintenanceWindow>> = []
  #drained = new Set<string>()
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
    return this.#windows
  }

  isDrainedByOperator (target: string): boolean {
    return this.#drained.has(target)
  }

  /** Calls the listener after each update; returns a function that removes it. */
  subscribe (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  update (tree: SettingsTree): void {
    this.#clear()
    this.#offset = tree.offset
    for (const [path, value] of tree.list('/teams')) this.#add(path, value)
    for (const listener of this.#listeners) listener()
  }

  #clear (): void {
    this.#accounts = new Map()
    this.#accountByKeyHash = new Map()
    this.#services = new Map()
    this.#targets = new Map()
    this.#targetsByService = new Map()
    this.#windows = []
    this.#drained = new Set()
  }

  #add (path: string, value: unknown): void {
    const [, , , kind, name] = path.split('/')
    if (kind === 'accounts') this.#addAccount({ ...ClientAccount.parse(value), name })
    else if (kind === 'services') this.#services.set(name, { ...Service.parse(value), name })
    else if (kind === 'targets') this.#addTarget({ ...Target.parse(value), name })
    else if (kind === 'windows') this.#windows.push({ ...MaintenanceWindow.parse(value), name })
    else if (kind === 'drains') this.#drained.add(name)
  }

  #addAccount (account: Named<ClientAccount>): void {
    this.#accounts.set(account.name, account)
    for (const keyHash of account.keyHashes) this.#accountByKeyHash.set(keyHash, account)
  }

  #addTarget (target: Named<Target>): void {
    this.#targets.set(target.name, target)
    const targets = this.#targetsByService.get(target.service)
    if (targets) targets.push(target)
    else this.#targetsByService.set(target.service, [target])
  }
}
