import type { QueueAddOptions } from 'p-queue'
import { FairQueue } from '../../FairQueue'
import type { RunFunction } from '../RunFunction'

interface GrantedQueueOptions extends QueueAddOptions {
  account: string
  cost: number
}

/** Queue class of p-queue whose owner chooses the next item: the one to which the next grant applies. */
export class GrantedQueue extends FairQueue<RunFunction> {
  chooseNext: (queue: GrantedQueue) => RunFunction | undefined = () => undefined

  override enqueue (run: RunFunction, options?: Partial<GrantedQueueOptions>): void {
    super.enqueue(run, options)
  }

  override dequeue (): RunFunction | undefined {
    return this.chooseNext(this)
  }

  override filter (options: Readonly<Partial<GrantedQueueOptions>>): RunFunction[] {
    return super.filter(options)
  }
}
