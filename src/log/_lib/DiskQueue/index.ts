import type { LogEntry } from '../../../contract/LogEntry'
import type { LogStorage } from '../../LogStorage'

interface DiskQueueOptions {
  storage: LogStorage
  /** Called when all appends up to a sequence number are durable. */
  onSynced: (sequence: number) => void
  /** Called when an operation fails. The operations after it stay queued until another one is added. */
  onError: (error: unknown) => void
}

type Job = { sequence: number, entries: readonly LogEntry[] } | { run: () => Promise<void> }

/** Runs operations on the log storage one at a time, in order. Consecutive queued appends share a write and a sync. */
export class DiskQueue {
  readonly #options: DiskQueueOptions
  readonly #jobs: Job[] = []
  #running: Promise<void> | undefined

  constructor (options: DiskQueueOptions) {
    this.#options = options
  }

  append (sequence: number, entries: readonly LogEntry[]): void {
    this.#jobs.push({ sequence, entries })
    this.#start()
  }

  /** Runs an operation after all operations that were queued before it. */
  run (operation: () => Promise<void>): Promise<void> {
    return new Promise((resolve, reject) => {
      const run = (): Promise<void> => operation().then(resolve, error => {
        reject(error)
        throw error
      })
      this.#jobs.push({ run })
      this.#start()
    })
  }

  /** Resolves once the queued operations have run, or one of them has failed; those after it are then not run. */
  async close (): Promise<void> {
    await this.#running
  }

  #start (): void {
    this.#running ??= this.#runAll().catch(this.#options.onError).finally(() => { this.#running = undefined })
  }

  async #runAll (): Promise<void> {
    while (this.#jobs.length > 0) {
      const appends = this.#takeAppends()
      if (appends.length > 0) {
        await this.#options.storage.append(appends.flatMap(({ entries }) => entries))
        this.#options.onSynced(appends.at(-1)!.sequence)
      } else {
        const job = this.#jobs.shift()!
        if ('run' in job) await job.run()
      }
    }
  }

  #takeAppends (): Array<{ sequence: number, entries: readonly LogEntry[] }> {
    const appends = []
    for (let job = this.#jobs[0]; job && 'entries' in job; job = this.#jobs[0]) {
      appends.push(job)
      this.#jobs.shift()
    }
    return appends
  }
}
