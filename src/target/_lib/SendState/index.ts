import { AppError } from '../../../contract/AppError'

/** Records whether a byte of a request may have been sent. */
export class SendState {
  /** Called right before the first byte is written; throws if the request must not be sent. */
  readonly #confirmSend?: () => void
  #isSent = false

  constructor (confirmSend?: () => void) {
    this.#confirmSend = confirmSend
  }

  get isSent (): boolean {
    return this.#isSent
  }

  /**
   * Marks the request as sent; must be called right before the first byte is written. Throws if the request was already
   * sent, so that the HTTP client can't resend it.
   */
  start (): void {
    if (this.#isSent) throw new AppError('target-failed', 'The HTTP client tried to send a request that it had already sent.')
    this.#confirmSend?.()
    this.#isSent = true
  }
}
