import PQueue from 'p-queue'
import { FairQueue } from '.'

describe('FairQueue', () => {
  it.each([[1, 1], [3, 1], [1, 5]])('keeps the difference of normalised service within two items for weights %d and %d', (weightA, weightB) => {
    const weights: Record<string, number> = { a: weightA, b: weightB }
    const queue = new FairQueue<{ account: string, cost: number }>({ getWeight: account => weights[account] })
    for (let index = 0; index < 400; index++) {
      for (const [account, cost] of [['a', 1 + index % 10], ['b', 10]] as const) queue.enqueue({ account, cost }, { account, cost })
    }
    const served: Record<string, number> = { a: 0, b: 0 }
    for (let index = 0; index < 300; index++) {
      const { account, cost } = queue.dequeue()!
      served[account] += cost / weights[account]
      expect(Math.abs(served.a - served.b)).toBeLessThanOrEqual(2 * 10)
    }
  })

  it('gives no credit for idle time, so that an account that returns does not push the others out', () => {
    const queue = new FairQueue<string>()
    for (let index = 0; index < 60; index++) queue.enqueue('busy', { account: 'busy' })
    for (let index = 0; index < 50; index++) queue.dequeue()
    for (let index = 0; index < 10; index++) queue.enqueue('back', { account: 'back' })
    const next = Array.from({ length: 10 }, () => queue.dequeue())
    expect(next.filter(account => account === 'back').length).toBeLessThanOrEqual(6)
  })

  it('keeps the order within an account and skips removed items, so that a caller who left is not served', () => {
    const queue = new FairQueue<string>()
    for (const id of ['1', '2', '3']) queue.enqueue(id, { account: 'a', id })
    expect(queue.remove('a', '2')).toBe(true)
    expect(queue.remove('a', '2')).toBe(false)
    expect([queue.dequeue(), queue.dequeue(), queue.dequeue(), queue.size]).toEqual(['1', '3', undefined, 0])
  })

  it('orders the jobs of p-queue as its queue class', async () => {
    const queue = new PQueue({ concurrency: 1, queueClass: FairQueue as never })
    const ran: string[] = []
    const add = (account: string): Promise<unknown> => queue.add(async () => { ran.push(account) }, { account } as never)
    const jobs = ['a', 'a', 'a', 'a', 'b', 'b'].map(add)
    await Promise.all(jobs)
    expect(ran.slice(0, 5).filter(account => account === 'b')).toHaveLength(2)
  })
})
