import { LifecycleManager } from '.'

describe('LifecycleManager', () => {
  it('closes components in reverse order and continues after a close function that fails, so that no resource leaks', async () => {
    const closed: string[] = []
    const failures: string[] = []
    const lifecycle = new LifecycleManager({ onError: name => failures.push(name) })
    lifecycle.register('a', () => { closed.push('a') })
    lifecycle.register('b', () => { throw new Error('b fails') })
    lifecycle.register('c', async () => { closed.push('c') })
    await Promise.all([lifecycle.close(), lifecycle.close()])
    expect(closed).toEqual(['c', 'a'])
    expect(failures).toEqual(['b'])
  })
})
