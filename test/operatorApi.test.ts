import { createHash } from 'node:crypto'
import { startFleet } from './_lib/startFleet'
import { waitFor } from './_lib/waitFor'

const hash = (secret: string): string => createHash('sha256').update(secret).digest('hex')
const SECRET_HASH = hash('key-a')
const account = { keyHashes: [SECRET_HASH], services: ['*'] }

describe('the operator API of three control replicas', () => {
  it('serves every request on every replica, also after the leader is lost, so that operators need not know the leader', async () => {
    const fleet = await startFleet({ controls: 3, hasProxies: false })
    try {
      const request = async (url: string, path: string, body?: object): Promise<any> => {
        const response = await fetch(url + path, { method: body ? 'POST' : 'GET', body: body && JSON.stringify(body), headers: { authorization: `Bearer ${fleet.token}` } })
        return await response.json()
      }
      const change = (url: string, weight: number) => request(url, '/v1/changes?waitMs=5000', { expectedRevision: weight - 1, operations: [{ path: '/teams/s/accounts/q', value: { ...account, weight } }] })
      for (const [index, { url }] of fleet.controls.entries()) {
        expect(await change(url, index + 1)).toMatchObject({ status: 'accepted', revision: index + 1, applied: ['r1'], behind: [] })
      }
      const { quorum } = await request(fleet.controls[0].url, '/v1/status')
      await fleet.controls.find(({ name }) => name === quorum.leader)!.kill()
      const rest = fleet.controls.filter(({ name }) => name !== quorum.leader)
      expect(await change(rest[0].url, 4)).toMatchObject({ status: 'accepted', revision: 4 })
      expect((await request(rest[1].url, '/v1/setting?path=/teams/s/accounts/q')).value.weight).toBe(4)
      const histories = await Promise.all(rest.map(({ url }) => request(url, '/v1/history')))
      expect(histories[0]).toEqual(histories[1])
      expect(histories[0].changes).toHaveLength(4)
      await rest[1].kill()
      const refused = await request(rest[0].url, '/v1/setting?path=/teams/s/accounts/q')
      expect(refused.error).toMatchObject({ kind: 'control-unavailable', outcome: 'not-run' })
      expect((await request(rest[0].url, '/v1/setting?path=/teams/s/accounts/q&consistency=local')).value.weight).toBe(4)
    } finally {
      await fleet.stop()
    }
  })
})

describe('the operator API', () => {
  let fleet: Awaited<ReturnType<typeof startFleet>>
  beforeEach(async () => {
    const engines = [{ name: 'e1', zone: 'z1', service: 'llama', options: { tokenMs: 100 } }]
    fleet = await startFleet({ engines, accounts: { a: {} }, settings: { '/teams/t/services/llama': { kind: 'completion', deadlineMs: 1_500 } }, hasProxies: false })
  })
  afterEach(() => fleet.stop())

  const call = async (path: string, body?: object, token = fleet.token): Promise<{ status: number, body: any }> => {
    const response = await fetch(fleet.controls[0].url + path, { method: body ? 'POST' : 'GET', body: body && JSON.stringify(body), headers: { authorization: `Bearer ${token}` } })
    return { status: response.status, body: await response.json() }
  }
  const change = (path: string, value: unknown, more: object = {}, token?: string) => call('/v1/changes', { operations: [{ path, value }], ...more }, token)

  it('binds operators to their subtrees and ends the bootstrap token with the first operator, so that a team can not change another one', async () => {
    await fleet.apply({ '/teams/s/accounts/q': account })
    expect((await change('/fleet/operators/root', { tokenHash: hash('root-token'), subtrees: ['/'] })).status).toBe(200)
    expect((await change('/teams/s/accounts/q', null)).body.error.kind).toBe('unauthenticated')
    await change('/fleet/operators/ann', { tokenHash: hash('ann-token'), subtrees: ['/teams/s'] }, {}, 'root-token')
    expect((await change('/teams/s/accounts/q', { ...account, weight: 2 }, {}, 'ann-token')).status).toBe(200)
    for (const path of ['/teams/sx/accounts/z', '/fleet/operators/ann', '/fleet/weightStore']) {
      expect((await change(path, null, {}, 'ann-token')).body.error).toMatchObject({ kind: 'forbidden', outcome: 'not-run' })
    }
    expect((await call('/v1/backup', undefined, 'ann-token')).body.error.kind).toBe('forbidden')
    const { body } = await call('/v1/history?prefix=/teams/s', undefined, 'ann-token')
    expect(body.changes.map((entry: any) => [entry.operator, entry.revision, entry.paths])).toEqual([['ann', 2, ['/teams/s/accounts/q']], ['bootstrap', 1, ['/teams/s/accounts/q']]])
    expect(Math.abs(Date.now() - body.changes[0].atMs)).toBeLessThan(60_000)
  })

  it('never shows hashes, but restores them from placeholders at the revision that was read, so that an edit does not lose keys', async () => {
    await fleet.apply({ '/teams/s/accounts/q': { ...account, keyHashes: [hash('old'), SECRET_HASH] } })
    const { body: setting } = await call('/v1/setting?path=/teams/s/accounts/q')
    const edited = { ...setting.value, keyHashes: ['hidden:1'], weight: 5 }
    expect((await change('/teams/s/accounts/q', edited)).body.error.kind).toBe('invalid-settings')
    expect((await change('/teams/s/accounts/q', edited, { expectedRevision: setting.revision })).status).toBe(200)
    const conflict = await change('/teams/s/accounts/q', edited, { expectedRevision: setting.revision })
    expect([conflict.status, conflict.body.error.kind, conflict.body.error.details.values['/teams/s/accounts/q'].weight]).toEqual([409, 'revision-conflict', 5])
    const responses = [setting, conflict.body, (await call('/v1/settings')).body, (await call('/v1/history')).body, (await call('/v1/diff', { values: {}, isPruned: true })).body]
    expect(JSON.stringify(responses)).not.toContain(SECRET_HASH)
    const { body: backup } = await call('/v1/backup')
    expect(backup.values['/teams/s/accounts/q']).toEqual({ ...account, weight: 5 })
  })

  it('applies a resent change once, so that a lost response can not undo a later change', async () => {
    const first = await change('/teams/s/accounts/q', account, { changeId: 'x' })
    await change('/teams/s/accounts/q', { ...account, weight: 2 })
    expect((await change('/teams/s/accounts/q', account, { changeId: 'x' })).body).toEqual(first.body)
    expect((await call('/v1/setting?path=/teams/s/accounts/q')).body.value.weight).toBe(2)
  })

  it('restores a backup also when names have moved between teams since', async () => {
    await fleet.apply({ '/teams/s/accounts/q': account, '/teams/s/services/sums': { kind: 'completion' } })
    const { body: backup } = await call('/v1/backup')
    await fleet.apply({ '/teams/s/accounts/q': null, '/teams/t/accounts/q': account })
    await fleet.apply({ '/teams/t/services/other': { kind: 'http' } })
    const restore = await call('/v1/restore', { backup, changeId: 'r' })
    expect(restore).toMatchObject({ status: 200, body: { set: 1, deleted: 2 } })
    expect((await call('/v1/backup')).body.values).toEqual(backup.values)
    const again = await call('/v1/restore', { backup, changeId: 'r' })
    expect(again.body).toMatchObject({ set: 0, deleted: 0 })
  })

  it('reports a target as drained only after its last request, so that no maintenance starts while it has work', async () => {
    const headers = { authorization: 'Bearer key-a' }
    const complete = () => fetch(`${fleet.routers[0].url}/v1/completions`, { method: 'POST', headers, body: JSON.stringify({ model: 'llama', stream: true, max_tokens: 80 }) })
    const streaming = await complete()
    const stream = { isOpen: true }
    const text = streaming.text().finally(() => { stream.isOpen = false })
    const drain = await call('/v1/drain?waitMs=5000', { target: 'e1', reason: 'filter' })
    expect(drain.body).toMatchObject({ path: '/teams/t/drains/e1', applied: ['r1'], behind: [] })
    expect((await (await complete()).json() as any).error.outcome).toBe('not-run')
    const getState = async (): Promise<string> => (await call('/v1/status')).body.targets[0].state
    while (stream.isOpen) {
      const state = await getState()
      if (stream.isOpen) expect(state).toBe('draining')
    }
    expect((await text).trimEnd().endsWith('[DONE]')).toBe(true)
    await waitFor('the drained state', async () => await getState() === 'drained')
    await call('/v1/undrain?waitMs=5000', { target: 'e1' })
    expect((await complete()).status).toBe(200)
  })
})
