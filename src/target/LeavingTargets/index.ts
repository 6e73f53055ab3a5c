import type { PlatformInstance } from '../../contract/PlatformInstance'

/**
 * @name LeavingTargets
 * @category Target
 * @summary Targets that the platform's list shows as leaving.
 *
 * @example
 * leaving.update(instances)
 * leaving.isClosed('runner-1')
 */
export class LeavingTargets {
  #names: ReadonlySet<string> = new Set()

  update (instances: readonly PlatformInstance[]): void {
    this.#names = new Set(instances.filter(({ kind, state }) => kind === 'target' && state === 'leaving').map(({ instance }) => instance))
  }

  isClosed (target: string): boolean {
    return this.#names.has(target)
  }
}
