import { TargetCommandSender } from '.'
import { AppError } from '../../contract/AppError'
import { MemoryLog } from '../../log/MemoryLog'
import { TargetCommandTable } from '../TargetCommandTable'

interface Sent { sender: string, id: string, token: number, atMs: number }

/** Creates senders that share a log and a target; each has its own clock, which the test advances. */
function createFleet () {
  const log = new MemoryLog(new TargetCommandTable())
  const sent: Sent[] = []
  const createSender = (sender: string, options: { pauseBeforeSendMs?: number, failure?: AppError } = {}) => {
    const clock = { nowMs: 0 }
    const instance = new TargetCommandSender({
      sender,
      propose: async record => {
        const reply = await log.propose(record)
        clock.nowMs += options.pauseBeforeSendMs ?? 0
        return reply
      },
      post: async (_url, { id, fencingToken }) => {
        if (options.failure) throw options.failure
        sent.push({ sender, id, token: fencingToken, atMs: clock.nowMs })
        return { isAccepted: true }
      },
      getMonotonicMs: () => clock.nowMs,
      getWallClockMs: () => 0,
      wait: async ms => { clock.nowMs += ms }
    })
    return { instance, clock }
  }
  return { sent, createSender }
}

const target = (fencing: 'checked' | 'ignored') => ({ name: 'e1', url: 'http://127.0.0.1:1', fencing })
const action = { kind: 'change-role' as const, role: 'decode' }
const lost = new AppError('target-timeout', 'No response.', { outcome: 'unknown' })

describe('TargetCommandSender', () => {
  it('does not send after its lease, so that a sender that was paused cannot overtake its successor', async () => {
    const { sent, createSender } = createFleet()
    const paused = createSender('s1', { pauseBeforeSendMs: 5_000 })
    expect(await paused.instance.run({ id: 'a', target: target('ignored'), action })).toBe('failed')
    expect(sent).toEqual([])
  })

  it.each([
    ['waits until the lease and the time-out of a predecessor have passed when the target ignores fencing tokens', 'ignored', 16_000],
    ['sends at once with a higher fencing token when the target checks fencing tokens', 'checked', 0]
  ] as const)('%s', async (_case, fencing, atMs) => {
    const { sent, createSender } = createFleet()
    const first = createSender('s1', { failure: lost })
    expect(await first.instance.run({ id: 'a', target: target(fencing), action })).toBe('unknown')
    expect(await createSender('s2').instance.run({ id: 'b', target: target(fencing), action })).toBe('done')
    expect(sent).toMatchObject([{ sender: 's2', atMs }])
    expect(sent[0].token).toBeGreaterThan(1)
  })

  it('runs a resent command once', async () => {
    const { sent, createSender } = createFleet()
    const command = { id: 'a', target: target('checked'), action }
    expect(await createSender('s1').instance.run(command)).toBe('done')
    expect(await createSender('s2').instance.run(command)).toBe('done')
    expect(sent).toHaveLength(1)
  })
})
