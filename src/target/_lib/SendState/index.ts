import { AppError } from '../../../contract/AppError'

/** Tells whether a byte of a request can have left. `start` is called right before the first byte is written. */
export class SendState {
  readonly #confirm?: () => void
  #isSent = false

  constructor (confirm?: () => void) {
    this.#confirm = confirm
  }

  get isSent (): boolean {
    return this.#isSent
  }

  /** Refuses a second write of the same request, whatever the reason of the HTTP client for it. */
  start (): void {
    if (this.#isSent) throw new AppError('target-failed', 'The connection closed after the request was sent.')
    this.#confirm?.()
    this.#isSent = true
  }
}
