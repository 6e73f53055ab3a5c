import { IdempotencyTable } from '.'
import { MAX_STORED_BYTES } from '../MAX_STORED_BYTES'

const DAY_MS = 24 * 60 * 60 * 1000
const claim = (attempt: string, session = 's1', digest = 'd') => ({ type: 'claim', id: 'a/k', digest, session, attempt, atMs: 1 })
const complete = (attempt: string, size = 2, atMs = 1) => ({ type: 'complete', id: 'a/k', attempt, response: { kind: 'complete', status: 201, headers: {}, body: new Uint8Array(size) }, atMs })
const unknown = (attempt: string) => ({ type: 'complete', id: 'a/k', attempt, response: { kind: 'unknown' }, atMs: 1 })
const withdraw = (attempt: string) => ({ type: 'withdraw', id: 'a/k', attempt, atMs: 1 })
const lead = (grantor: string) => ({ type: 'lead', grantor, atMs: 1 })
const expire = (grantor: string, session = 's1') => ({ type: 'expire', grantor, session, atMs: 1 })

function applyAll (table: IdempotencyTable, commands: object[]): string[] {
  return commands.map(command => {
    const result = table.apply(command, table.offset + 1)
    return result.status === 'ended' ? `ended ${result.response.kind}` : result.status
  })
}

const CASES: Array<[string, object[], string[]]> = [
  ['a resend while the first attempt runs', [claim('1'), claim('2')], ['claimed', 'running']],
  ['a claim that is proposed again after its reply was lost', [claim('1'), claim('1')], ['claimed', 'claimed']],
  ['a resend after the end', [claim('1'), complete('1'), claim('2')], ['claimed', 'done', 'ended complete']],
  ['the same key with another body', [claim('1'), claim('2', 's1', 'other')], ['claimed', 'conflict']],
  ['a withdrawal and the next attempt', [claim('1'), withdraw('1'), claim('2')], ['claimed', 'withdrawn', 'claimed']],
  ['a withdrawal that overtakes its claim', [withdraw('1'), claim('1'), claim('2')], ['withdrawn', 'withdrawn', 'claimed']],
  ['a withdrawal by an older attempt', [claim('1'), withdraw('1'), claim('2'), withdraw('1'), claim('3')], ['claimed', 'withdrawn', 'claimed', 'withdrawn', 'running']],
  ['a withdrawal after the response', [claim('1'), complete('1'), withdraw('1'), claim('2')], ['claimed', 'done', 'refused', 'ended complete']],
  ['a response of an attempt that does not own the record', [claim('1'), complete('2'), claim('3')], ['claimed', 'refused', 'running']],
  ['the end of the session of a failed router', [lead('g'), claim('1'), expire('g'), claim('2', 's2')], ['done', 'claimed', 'done', 'ended unknown']],
  ['a claim that arrives after the end of its session', [lead('g'), expire('g'), claim('1')], ['done', 'done', 'session-ended']],
  ['the end of a session proposed by a former control leader', [lead('g1'), claim('1'), lead('g2'), expire('g1'), claim('2', 's2')], ['done', 'claimed', 'done', 'refused', 'running']],
  ['the end of another session', [lead('g'), claim('1'), expire('g', 's2'), claim('2', 's3')], ['done', 'claimed', 'done', 'running']],
  ['a response that arrives after the end of the session', [lead('g'), claim('1'), expire('g'), complete('1'), claim('2')], ['done', 'claimed', 'done', 'done', 'ended complete']],
  ['an unknown outcome after the response', [claim('1'), complete('1'), unknown('1'), claim('2')], ['claimed', 'done', 'done', 'ended complete']],
  ['a response that is too large to store', [claim('1'), complete('1', MAX_STORED_BYTES + 1), claim('2')], ['claimed', 'done', 'ended too-large']],
  ['a record within its retention', [claim('1'), complete('1'), { ...claim('2'), atMs: DAY_MS + 1 }], ['claimed', 'done', 'ended complete']],
  ['a record after its retention', [claim('1'), complete('1'), { ...claim('2'), atMs: DAY_MS + 2 }], ['claimed', 'done', 'claimed']],
  ['a record that still runs after the retention', [claim('1'), { ...claim('2'), atMs: 2 * DAY_MS }], ['claimed', 'running']],
  ['a malformed command', [{ type: 'claim' }, null as unknown as object], ['refused', 'refused']]
]

describe('IdempotencyTable', () => {
  it.each(CASES)('handles %s, so that no call runs twice and no outcome is lost', (_case, commands, expected) => {
    expect(applyAll(new IdempotencyTable(), commands)).toEqual(expected)
  })

  it.each(CASES)('continues from a snapshot taken at any point of: %s', (_case, commands, expected) => {
    for (let taken = 0; taken <= commands.length; taken++) {
      const before = new IdempotencyTable()
      const results = applyAll(before, commands.slice(0, taken))
      const after = new IdempotencyTable()
      after.install(structuredClone(before.getState()))
      expect([...results, ...applyAll(after, commands.slice(taken))]).toEqual(expected)
    }
  })
})
