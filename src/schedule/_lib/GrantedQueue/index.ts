import type { QueueAddOptions } from 'p-queue'
import { FairQueue } from '../../FairQueue'
import type { RunFunction } from '../RunFunction'

interface GrantedQueueOptions extends QueueAddOptions {
  account: string
  cost: number
}

/** Queue class of p-queue that lets its owner choose the next item, which is the one that a grant is for. */
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
