import type { QueueAddOptions } from 'p-queue'
import { FairQueue } from '../../FairQueue'
import type { RunFunction } from '../RunFunction'

interface GrantOrderedQueueOptions extends QueueAddOptions {
  account: string
  cost: number
}

/**
 * Queue class for p-queue that holds requests waiting for a grant. `chooseNext`, not the fair order of the base class,
 * determines which request is dequeued: the one that the next grant is for.
 */
export class GrantOrderedQueue extends FairQueue<RunFunction> {
  chooseNext: (queue: GrantOrderedQueue) => RunFunction | undefined = () => undefined

  override enqueue (run: RunFunction, options?: Partial<GrantOrderedQueueOptions>): void {
    super.enqueue(run, options)
  }

  override dequeue (): RunFunction | undefined {
    return this.chooseNext(this)
  }

  override filter (options: Readonly<Partial<GrantOrderedQueueOptions>>): RunFunction[] {
    return super.filter(options)
  }
}
