import { IdempotencyClient } from '.'
import { AppError } from '../../contract/AppError'
import { IdempotencyTable } from '../IdempotencyTable'

type Fault = 'pass' | 'refuse' | 'lose-request' | 'lose-reply' | 'apply-late'

/** Creates a client whose transport applies one of the faults to each proposal in turn, and none after that. */
function createClient (faults: Fault[] = [], table = new IdempotencyTable(), session = 's1') {
  const late: object[] = []
  const apply = (command: object) => table.apply({ ...command, atMs: 1 }, table.offset + 1)
  const lost = new AppError('control-unavailable', 'No reply.', { outcome: 'unknown' })
  const transport = {
    propose: async (command: unknown) => {
      const fault = faults.shift() ?? 'pass'
      if (fault === 'refuse') throw new AppError('control-unavailable', 'No majority.')
      if (fault === 'apply-late') late.push(command as object)
      if (fault === 'lose-request' || fault === 'apply-late') throw lost
      const result = apply(command as object)
      if (fault === 'lose-reply') throw lost
      return result
    },
    waitForRecord: async () => { await new Promise(resolve => setTimeout(resolve, 5)) }
  }
  const sessions = { session, isHeld: () => true, reset: () => {} }
  return { client: new IdempotencyClient(transport, sessions), table, applyLate: () => late.map(apply) }
}

const claim = (attempt: string, waitMs = 1_000) => ({ id: 'a/k', digest: 'd', attempt, deadlineAtMs: performance.now() + waitMs })

describe('IdempotencyClient', () => {
  it.each<[string, Fault[], string]>([
    ['control refuses', ['refuse'], 'not-run'],
    ['the claim is lost', ['lose-request'], 'not-run'],
    ['the reply to the claim is lost', ['lose-reply'], 'not-run'],
    ['the claim is applied after its withdrawal', ['apply-late'], 'not-run'],
    ['the withdrawal succeeds at its third attempt', ['lose-reply', 'lose-request', 'lose-reply'], 'not-run'],
    ['the withdrawal cannot be confirmed', ['lose-reply', 'lose-request', 'lose-request', 'lose-request'], 'unknown']
  ])('reports the true outcome when %s, and lets a resend run if and only if that is "not-run"', async (_case, faults, outcome) => {
    const { client, table, applyLate } = createClient(faults)
    await expect(client.claim(claim('1'))).rejects.toMatchObject({ kind: 'control-unavailable', outcome })
    applyLate()
    const resend = await createClient([], table).client.claim(claim('2', 30)).then(() => 'claimed', error => error.kind)
    expect(resend).toBe(outcome === 'not-run' ? 'claimed' : 'key-in-progress')
  })

  it('waits for the attempt that runs and returns its response, and ends with key-in-progress at the deadline', async () => {
    const { client, table } = createClient()
    expect(await client.claim(claim('1'))).toEqual({ session: 's1' })
    await expect(client.claim(claim('2', 30))).rejects.toMatchObject({ kind: 'key-in-progress', outcome: 'unknown' })
    const resend = createClient([], table).client.claim(claim('3'))
    await client.complete('a/k', '1', { kind: 'unknown' })
    expect(await resend).toEqual({ response: { kind: 'unknown' } })
  })

  it('proposes the response again until it is committed, so that a short outage of control loses no record', async () => {
    const { client, table } = createClient(['pass', 'lose-request', 'refuse', 'lose-reply'])
    await client.claim(claim('1'))
    await client.complete('a/k', '1', { kind: 'too-large' })
    expect(table.find('a/k')?.response).toEqual({ kind: 'too-large' })
  })

  it('refuses to send without a lease', () => {
    const client = new IdempotencyClient({ propose: async () => {}, waitForRecord: async () => {} }, { session: 's1', isHeld: () => false, reset: () => {} })
    expect(() => client.confirmSend('s1')).toThrow(expect.objectContaining({ outcome: 'not-run' }))
  })
})
