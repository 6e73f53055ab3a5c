import { Agent, request } from 'undici'

/** Runs streamed completions as callers do and counts the complete and the interrupted streams. */
export class StreamLoad {
  complete = 0
  interrupted = 0
  /** Complete streams with a wrong number of tokens. */
  wrongTokens = 0
  readonly #agent = new Agent({ pipelining: 0 })
  readonly #running = new Set<Promise<void>>()

  start (url: string, tokens: number): void {
    const running = this.#run(url, tokens).finally(() => this.#running.delete(running))
    this.#running.add(running)
  }

  async wait (): Promise<void> {
    while (this.#running.size > 0) await Promise.all(this.#running)
    await this.#agent.destroy()
  }

  async #run (url: string, tokens: number): Promise<void> {
    let text = ''
    try {
      const { statusCode, body } = await request(`${url}/v1/completions`, {
        method: 'POST',
        headers: { authorization: 'Bearer key-a', 'content-type': 'application/json' },
        body: JSON.stringify({ model: 'llama', prompt: 'p', stream: true, max_tokens: tokens }),
        dispatcher: this.#agent
      })
      for await (const chunk of body) text += chunk
      if (statusCode !== 200 || !text.endsWith('data: [DONE]\n\n')) throw new Error(text)
      this.complete++
    } catch {
      this.interrupted++
      return
    }
    const events = text.split('\n').filter(line => line.startsWith('data: {')).map(line => JSON.parse(line.slice(6)))
    if (events.filter(({ choices }) => choices.length > 0 && choices[0].text).length !== tokens) this.wrongTokens++
  }
}
