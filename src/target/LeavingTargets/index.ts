import type { PlatformInstance } from '../../contract/PlatformInstance'

/**
 * @name LeavingTargets
 * @category Target
 * @summary Targets that the platform's list of instances shows as `leaving`.
 *
 * @example
 * leaving.update(instances)
 * leaving.isDraining('runner-1')
 */
export class LeavingTargets {
  #leavingNames: ReadonlySet<string> = new Set()

  update (instances: readonly PlatformInstance[]): void {
    this.#leavingNames = new Set(instances.filter(({ kind, state }) => kind === 'target' && state === 'leaving').map(({ instance }) => instance))
  }

  isDraining (target: string): boolean {
    return this.#leavingNames.has(target)
  }
}
