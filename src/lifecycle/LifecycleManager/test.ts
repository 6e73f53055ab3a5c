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

  // Guards against a component that stays open because a stop began while the process was still starting.
  it('closes a component that is registered while another one is closing', async () => {
    const closed: string[] = []
    const lifecycle = new LifecycleManager()
    lifecycle.register('first', () => { closed.push('first') })
    lifecycle.register('second', async () => {
      await Promise.resolve()
      closed.push('second')
    })
    const closing = lifecycle.close()
    lifecycle.register('late', () => { closed.push('late') })
    await closing
    expect(closed).toEqual(['second', 'late', 'first'])
  })

  // Guards against the same when everything that was registered before has closed already.
  it('closes a component at once that is registered after all others have closed', async () => {
    const closed: string[] = []
    const lifecycle = new LifecycleManager()
    await lifecycle.close()
    lifecycle.register('late', () => { closed.push('late') })
    expect(closed).toEqual(['late'])
  })
})
