import type { AppError } from '../../../contract/AppError'

/** Promise of a result, rejected after a timeout. */
export class PendingResult {
  readonly promise: Promise<unknown>
  readonly #timer: NodeJS.Timeout
  #resolve!: (value: unknown) => void
  #reject!: (error: AppError) => void

  constructor (timeoutMs: number, createError: () => AppError) {
    this.promise = new Promise((resolve, reject) => {
      this.#resolve = resolve
      this.#reject = reject
    })
    this.#timer = setTimeout(() => this.#reject(createError()), timeoutMs)
  }

  complete (value: unknown): void {
    clearTimeout(this.#timer)
    this.#resolve(value)
  }

  refuse (error: AppError): void {
    clearTimeout(this.#timer)
    this.#reject(error)
  }
}
