import { OffsetWaiters } from '../OffsetWaiters'
import type { ReplicatedLog } from '../ReplicatedLog'
import type { StateMachine } from '../StateMachine'

/**
 * @name MemoryLog
 * @category Log
 * @summary In-memory log with one replica and no disk, for tests of components that use a log.
 *
 * @param machine - Applies the commands.
 *
 * @example
 * const machine = { offset: 0, apply: (command: unknown, offset: number) => offset, getState: () => null, install: () => {} }
 * const log = new MemoryLog(machine)
 * await log.propose('first') // 1
 * log.listEntries(0, 10) // [{ offset: 1, command: 'first' }]
 */
export class MemoryLog implements ReplicatedLog {
  readonly #machine: StateMachine
  readonly #entries: Array<{ offset: number, command: unknown }> = []
  readonly #waiters = new OffsetWaiters()

  constructor (machine: StateMachine) {
    this.#machine = machine
  }

  get ageMs (): number {
    return 0
  }

  get commitOffset (): number {
    return this.#entries.length
  }

  async propose (command: unknown): Promise<unknown> {
    const offset = this.#entries.length + 1
    this.#entries.push({ offset, command })
    const result = this.#machine.apply(command, offset)
    this.#waiters.notify(offset)
    return result
  }

  async confirmRead (): Promise<void> {}

  listEntries (afterOffset: number, maxEntries: number): Array<{ offset: number, command: unknown }> {
    return this.#entries.slice(afterOffset, afterOffset + maxEntries)
  }

  async waitForCommit (afterOffset: number, waitMs: number): Promise<void> {
    if (this.commitOffset <= afterOffset) await this.#waiters.wait(afterOffset + 1, waitMs)
  }
}
