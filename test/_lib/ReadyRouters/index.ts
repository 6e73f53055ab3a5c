/**
 * Simulates the load balancer: polls the readiness checks of the routers and chooses among the routers that passed in
 * the last poll in which any did. Until the first such poll it chooses among all routers.
 */
export class ReadyRouters {
  readonly #urls: string[]
  readonly #timer: NodeJS.Timeout
  #ready: string[]

  constructor (urls: string[]) {
    this.#urls = urls
    this.#ready = urls
    this.#timer = setInterval(() => this.#poll(), 100)
  }

  choose (index: number): string {
    return this.#ready[index % this.#ready.length]
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  async #poll (): Promise<void> {
    const states = await Promise.all(this.#urls.map(url => fetch(`${url}/readyz`, { signal: AbortSignal.timeout(500) }).then(response => response.ok, () => false)))
    const ready = this.#urls.filter((_, index) => states[index])
    if (ready.length > 0) this.#ready = ready
  }
}
