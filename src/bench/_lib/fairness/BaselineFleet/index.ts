import { FairQueue } from '../../../../schedule/FairQueue'
import type { SimRequest } from '../SimRequest'
import type { SimTargets } from '../SimTargets'

type BaselineKind = 'first come first served' | 'round robin per router' | 'fair queuing per router'

interface BaselineFleetOptions {
  kind: BaselineKind
  routers: number
  targets: Array<{ name: string, slots: number }>
  simTargets: SimTargets
  onStart: (request: SimRequest) => void
}

/**
 * Baseline schedulers for the comparison. They assign free slots without delay, which favours them. Round robin and fair
 * queuing per router offer each free slot to the routers in turn; a router knows only its own queue.
 */
export class BaselineFleet {
  readonly #options: BaselineFleetOptions
  readonly #queues: Array<FairQueue<SimRequest>>
  readonly #freeSlots: string[]
  #nextQueue = 0

  constructor (options: BaselineFleetOptions) {
    this.#options = options
    this.#queues = Array.from({ length: options.kind === 'first come first served' ? 1 : options.routers }, () => new FairQueue<SimRequest>())
    this.#freeSlots = options.targets.flatMap(target => new Array<string>(target.slots).fill(target.name))
  }

  enqueue (router: number, request: SimRequest): void {
    const queue = this.#queues[router % this.#queues.length]
    // With one account for all requests, the fair queue serves them in the order of arrival.
    const account = this.#options.kind === 'fair queuing per router' ? request.account : ''
    queue.enqueue(request, { account, cost: request.hint })
    this.#dispatch()
  }

  #dispatch (): void {
    while (this.#freeSlots.length > 0) {
      const request = this.#dequeueNext()
      if (!request) return
      const target = this.#freeSlots.shift()!
      this.#options.onStart(request)
      this.#options.simTargets.run(target, request, () => {
        this.#freeSlots.push(target)
        this.#dispatch()
      })
    }
  }

  #dequeueNext (): SimRequest | undefined {
    for (let tried = 0; tried < this.#queues.length; tried++) {
      const queue = this.#queues[this.#nextQueue++ % this.#queues.length]
      if (queue.size > 0) return queue.dequeue()
    }
    return undefined
  }
}
