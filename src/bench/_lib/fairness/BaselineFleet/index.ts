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
 * Schedulers to compare with. Free slots are handed out without any delay, which favours them. Round robin and fair
 * queuing per router offer a free slot to the routers in turn; a router knows its own queue only.
 */
export class BaselineFleet {
  readonly #options: BaselineFleetOptions
  readonly #queues: Array<FairQueue<SimRequest>>
  readonly #free: string[]
  #next = 0

  constructor (options: BaselineFleetOptions) {
    this.#options = options
    this.#queues = Array.from({ length: options.kind === 'first come first served' ? 1 : options.routers }, () => new FairQueue<SimRequest>())
    this.#free = options.targets.flatMap(target => new Array<string>(target.slots).fill(target.name))
  }

  add (router: number, request: SimRequest): void {
    const queue = this.#queues[router % this.#queues.length]
    // Without accounts the fair queue is a first come first served queue.
    const account = this.#options.kind === 'fair queuing per router' ? request.account : ''
    queue.enqueue(request, { account, cost: request.hint })
    this.#run()
  }

  #run (): void {
    while (this.#free.length > 0) {
      const request = this.#takeNext()
      if (!request) return
      const target = this.#free.shift()!
      this.#options.onStart(request)
      this.#options.simTargets.run(target, request, () => {
        this.#free.push(target)
        this.#run()
      })
    }
  }

  #takeNext (): SimRequest | undefined {
    for (let tried = 0; tried < this.#queues.length; tried++) {
      const queue = this.#queues[this.#next++ % this.#queues.length]
      if (queue.size > 0) return queue.dequeue()
    }
    return undefined
  }
}
