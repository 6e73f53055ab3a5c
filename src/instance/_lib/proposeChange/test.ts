import { proposeChange } from '.'
import { AppError } from '../../../contract/AppError'
import type { SettingsChange } from '../../../contract/SettingsChange'

const change: SettingsChange = { changeId: 'c', subtree: '/teams/t', operations: [{ path: '/teams/t/drains/x', value: null }], operator: 'o', atMs: 0 }
const lost = new AppError('control-unavailable', 'The link closed.', { outcome: 'unknown' })

function createLog (replies: Array<AppError | string>) {
  const proposed: unknown[] = []
  const propose = async (command: unknown): Promise<unknown> => {
    proposed.push(command)
    const reply = replies.shift()
    if (reply instanceof AppError) throw reply
    return reply
  }
  return { propose, proposed }
}

describe('proposeChange', () => {
  it('proposes the same change again after a lost reply, so that the loss of the leader does not leave an operator without an answer', async () => {
    const log = createLog([lost, 'accepted'])
    await expect(proposeChange(log, change)).resolves.toBe('accepted')
    expect(log.proposed).toEqual([change, change])
  })

  it('does not report a change as not run after an attempt that may have been accepted', async () => {
    const log = createLog([lost, new AppError('body-too-large', 'Too large.')])
    await expect(proposeChange(log, change)).rejects.toMatchObject({ kind: 'body-too-large', outcome: 'unknown' })
  })

  it('throws other errors at once', async () => {
    const log = createLog([new AppError('shutting-down', 'The replica stops.')])
    await expect(proposeChange(log, change)).rejects.toMatchObject({ kind: 'shutting-down', outcome: 'not-run' })
    expect(log.proposed).toHaveLength(1)
  })
})
