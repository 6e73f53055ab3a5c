import { TargetCommandTable } from '.'
import type { TargetAction } from '../../contract/TargetAction'

const role: TargetAction = { kind: 'change-role', role: 'prefill' }
const load: TargetAction = { kind: 'load-model', name: 'llama', version: '2' }
const intend = (id: string, sender: string, options: { target?: string, action?: TargetAction, atMs?: number, limits?: object } = {}) =>
  ({ type: 'intend', id, sender, target: 'e1', action: role, atMs: 0, ...options })

describe('TargetCommandTable', () => {
  it('grants increasing fencing tokens and makes a command wait whose predecessor has no known result', () => {
    const table = new TargetCommandTable()
    expect(table.apply(intend('a', 's1'), 1)).toEqual({ status: 'granted', token: 1, mustWait: false })
    expect(table.apply(intend('b', 's2'), 2)).toEqual({ status: 'granted', token: 2, mustWait: true })
    table.apply({ type: 'finish', id: 'b', result: 'unknown', atMs: 0 }, 3)
    expect(table.apply(intend('c', 's2'), 4)).toMatchObject({ mustWait: true })
    table.apply({ type: 'finish', id: 'c', result: 'done', atMs: 0 }, 5)
    expect(table.apply(intend('d', 's3'), 6)).toMatchObject({ mustWait: false })
  })

  it('refuses to confirm an intent that a newer one has superseded, so that a sender that waited does not send after its successor', () => {
    const table = new TargetCommandTable()
    table.apply(intend('a', 's1'), 1)
    table.apply(intend('b', 's2'), 2)
    expect(table.apply({ type: 'confirm', id: 'a' }, 3)).toEqual({ status: 'superseded' })
    expect(table.apply({ type: 'confirm', id: 'b' }, 4)).toEqual({ status: 'granted', token: 4, mustWait: false })
  })

  it('replies to a resent command with its recorded result, also after a snapshot was installed, so that the command does not run again', () => {
    const table = new TargetCommandTable()
    table.apply(intend('a', 's1'), 1)
    expect(table.apply(intend('a', 's2'), 2)).toEqual({ status: 'recorded', result: 'unknown' })
    table.apply({ type: 'finish', id: 'a', result: 'done', atMs: 0 }, 2)
    const copy = new TargetCommandTable()
    copy.install(JSON.parse(JSON.stringify(table.getState())))
    expect(copy.apply(intend('a', 's2'), 3)).toEqual({ status: 'recorded', result: 'done' })
  })

  it('limits weight loads over all targets by concurrency and rate', () => {
    const table = new TargetCommandTable()
    const limits = { maxConcurrentLoads: 2, loadsPerMinute: 6 }
    const start = (id: string, atMs: number) => table.apply(intend(id, 's', { target: `t-${id}`, action: load, atMs, limits }), Number(id))
    expect(start('1', 0)).toMatchObject({ status: 'granted' })
    expect(start('2', 0)).toMatchObject({ status: 'granted' })
    expect(start('3', 0)).toMatchObject({ status: 'limited' })
    table.apply({ type: 'finish', id: '1', result: 'done', atMs: 1 }, 4)
    expect(start('5', 1)).toMatchObject({ status: 'limited', retryAfterMs: expect.closeTo(9_999, 0) })
    expect(start('6', 10_001)).toMatchObject({ status: 'granted' })
  })
})
