import { Agent, request } from 'undici'

interface SoundCall {
  sentAtMs: number
  /** Whether the stream arrived whole. */
  isServed: boolean
}

const SOUND_INTERVAL_MS = 20
const CRASHING_INTERVAL_MS = 80
/** Key parts of the prompts, which spread them over the engines. */
const DOCUMENTS = 12
const EVENTS = 6

/**
 * Streams from one client account at routers in turn: sound ones all the time, and on request ones with `crashPart`. All
 * share the first part and the documents, and no two prompts are alike.
 */
export class CrashTraffic {
  readonly soundCalls: SoundCall[] = []
  /** Error kinds and statuses of the calls with the part. */
  readonly crashingResults: string[] = []
  readonly #urls: readonly string[]
  readonly #crashPart: string
  readonly #agent = new Agent({ connections: 256 })
  readonly #timers: NodeJS.Timeout[] = []
  #sent = 0

  constructor ({ urls, crashPart }: { urls: readonly string[], crashPart: string }) {
    this.#urls = urls
    this.#crashPart = crashPart
  }

  startSound (): void {
    this.#timers.push(setInterval(() => {
      const call = { sentAtMs: performance.now(), isServed: false }
      this.soundCalls.push(call)
      this.#send([]).then(({ text }) => { call.isServed = text.includes(`id: ${EVENTS}\n`) }, () => {})
    }, SOUND_INTERVAL_MS))
  }

  startCrashing (): void {
    this.#timers.push(setInterval(() => { this.sendCrashing().catch(() => {}) }, CRASHING_INTERVAL_MS))
  }

  /** Sends one call with the part to the given router, by default to the next one. */
  async sendCrashing (router?: number): Promise<string> {
    const { status, text } = await this.#send([this.#crashPart], router)
    const result = `${status} ${text}`
    this.crashingResults.push(result)
    return result
  }

  /** Share of the sound calls sent between the two times that were served. */
  computeServedShare (fromMs: number, untilMs: number): number {
    const calls = this.soundCalls.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < untilMs)
    return calls.filter(({ isServed }) => isServed).length / calls.length
  }

  async close (): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer)
    await this.#agent.destroy()
  }

  async #send (extraParts: string[], router = this.#sent % this.#urls.length): Promise<{ status: number, text: string }> {
    const number = this.#sent++
    const parts = ['system', ...extraParts, `document-${Math.floor(Math.random() * DOCUMENTS)}`, `turn-${number}`].join(',')
    try {
      const { statusCode, body } = await request(`${this.#urls[router]}/r/`, {
        method: 'POST', headers: { host: 'a.example', key: 'k1', 'call-id': `call-${number}`, parts }, body: parts, dispatcher: this.#agent
      })
      return { status: statusCode, text: await body.text() }
    } catch (error) {
      return { status: 0, text: String(error) }
    }
  }
}
