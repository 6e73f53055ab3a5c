import { z } from 'zod'
import { request } from 'undici'
import { PlatformInstance } from '../../contract/PlatformInstance'
import { readResponseText } from '../../target/readResponseText'

const POLL_INTERVAL_MS = 2_000
const REQUEST_TIMEOUT_MS = 2_000
const MAX_LIST_BYTES = 8 * 1024 * 1024
const InstanceList = z.object({ instances: z.array(PlatformInstance) })

interface PlatformListPollerOptions {
  /** Origin (scheme, host and port) of the platform's list. */
  url: string
  onList: (instances: PlatformInstance[]) => void
  onError: (error: unknown) => void
}

/**
 * @name PlatformListPoller
 * @category Membership
 * @summary Polls the platform's membership list.
 *
 * @description
 * A failed poll is reported to `onError` only, so that an outage of the platform does not empty the membership view.
 *
 * @param options - Origin of the list and callbacks.
 *
 * @example
 * const poller = new PlatformListPoller({ url: 'http://127.0.0.1:9000', onList, onError })
 * poller.start()
 * poller.stop()
 */
export class PlatformListPoller {
  readonly #options: PlatformListPollerOptions
  #timer?: NodeJS.Timeout
  #isRunning = false

  constructor (options: PlatformListPollerOptions) {
    this.#options = options
  }

  start (): void {
    this.#isRunning = true
    void this.#runPoll()
  }

  stop (): void {
    this.#isRunning = false
    clearTimeout(this.#timer)
  }

  async #runPoll (): Promise<void> {
    try {
      this.#options.onList(await fetchList(this.#options.url))
    } catch (error) {
      this.#options.onError(error)
    }
    if (this.#isRunning) this.#timer = setTimeout(() => this.#runPoll(), POLL_INTERVAL_MS)
  }
}

async function fetchList (url: string): Promise<PlatformInstance[]> {
  const response = await request(`${url}/instances`, { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) })
  const text = await readResponseText(response.body, { maxBytes: MAX_LIST_BYTES })
  return InstanceList.parse(JSON.parse(text)).instances
}
