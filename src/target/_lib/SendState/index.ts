import { AppError } from '../../../contract/AppError'

/** Whether a byte of a request may have been sent. `start` must be called right before the first byte is written. */
export class SendState {
  readonly #confirmSend?: () => void
  #isSent = false

  constructor (confirmSend?: () => void) {
    this.#confirmSend = confirmSend
  }

  get isSent (): boolean {
    return this.#isSent
  }

  /** Throws on a second write of the same request, for whatever reason the HTTP client starts one. */
  start (): void {
    if (this.#isSent) throw new AppError('target-failed', 'The connection closed after the request was sent.')
    this.#confirmSend?.()
    this.#isSent = true
  }
}
