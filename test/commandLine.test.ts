import { createHash } from 'node:crypto'
import { mkdtempSync, readFileSync, statSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { runCommand } from './_lib/runCommand'
import { startFleet } from './_lib/startFleet'

const directory = mkdtempSync(join(tmpdir(), 'papayalead-command-'))
const writeFile = (name: string, text: string): string => {
  const file = join(directory, name)
  writeFileSync(file, text)
  return file
}
const KEY_HASH = createHash('sha256').update('key').digest('hex')

describe('the command line', () => {
  let fleet: Awaited<ReturnType<typeof startFleet>>
  let env: Record<string, string>
  beforeAll(async () => {
    fleet = await startFleet({ engines: [{ name: 'e1', zone: 'z1', service: 'llama' }], accounts: { a: {} }, hasProxies: false })
    // The first control URL has no listener, so that each command must fail over to the second.
    env = { PAPAYALEAD_CONTROL: `http://127.0.0.1:9,${fleet.controls[0].url}`, PAPAYALEAD_TOKEN: fleet.token }
  })
  afterAll(() => fleet.stop())
  const runJson = async (args: string[]) => JSON.parse((await runCommand([...args, '--json'], env)).stdout)

  it('runs the operator commands in a typical sequence, so that none is missing or fails on a healthy fleet', async () => {
    const file = writeFile('s.jsonc', `{ // comment\n "/teams/s/accounts/q": { "keyHashes": ["${KEY_HASH}"], "services": ["*"] },\n "/teams/s/services/sums": { "kind": "http" } }`)
    expect(await runCommand(['check', file], env)).toMatchObject({ exitCode: 0, stdout: `${file} is valid.\n` })
    expect((await runCommand(['diff', file], env)).stdout).toMatch(/^PATH +BEFORE +AFTER\n\/teams\/s\/accounts\/q +- +\{.*hidden:0/)
    expect((await runCommand(['apply', file, '--wait'], env)).stdout).toMatch(/\/teams\/s: Accepted at revision 1, offset \d+\. In effect on 1 of 1 live routers\./)
    expect((await runCommand(['diff', file], env)).stdout).toBe('No changes.\n')
    expect(await runJson(['set', '/teams/s/services/sums', '{"kind":"completion"}', '--expect', '1', '--wait'])).toMatchObject({ status: 'accepted', revision: 2, behind: [] })
    expect(await runJson(['get', '/teams/s/services/sums'])).toMatchObject({ value: { kind: 'completion' }, revision: 2 })
    expect(Object.keys((await runJson(['list', '/teams/s'])).values)).toEqual(['/teams/s/accounts/q', '/teams/s/services/sums'])
    const backup = join(directory, 'backup.json')
    await runCommand(['backup', backup], env)
    expect(statSync(backup).mode & 0o777).toBe(0o600)
    expect(await runJson(['delete', '/teams/s/accounts/q'])).toMatchObject({ revision: 3 })
    expect(await runJson(['restore', backup, '--wait'])).toMatchObject({ set: 1, deleted: 0, behind: [] })
    expect(JSON.parse(readFileSync(backup, 'utf8')).values['/teams/s/accounts/q'].keyHashes).toEqual([KEY_HASH])
    expect((await runCommand(['history', '/teams/s', '--limit', '2'], env)).stdout.split('\n')[2]).toMatch(/bootstrap +\/teams\/s +3 +-\/teams\/s\/accounts\/q/)
    await runCommand(['drain', 'e1', '--wait'], env)
    expect((await runCommand(['status'], env)).stdout).toMatch(/e1 +llama +z1 +0 +8 +(draining|drained)/)
    await runCommand(['undrain', 'e1', '--wait'], env)
    expect(await runJson(['status'])).toMatchObject({ answeredBy: 'c1', quorum: { leader: 'c1' }, instances: [{ instance: 'r1', isReady: true }], targets: [{ target: 'e1', state: 'in-service' }] })
  })

  it.each([
    ['an unknown setting', ['get', '/teams/s/accounts/none'], 4, 'not-found'],
    ['a stale revision', ['set', '/teams/t/services/llama', '{"kind":"completion"}', '--expect', '0'], 7, 'revision-conflict'],
    ['a wrong value', ['set', '/teams/t/services/llama', '{"kind":"x"}'], 2, 'invalid-settings'],
    ['a value that is not JSON', ['set', '/teams/t/services/llama', '{'], 2, 'bad-request'],
    ['a wrong token', ['status', '--token', 'wrong'], 3, 'unauthenticated'],
    ['an unknown target', ['drain', 'none'], 4, 'not-found'],
    ['a file with an unknown key', ['check', writeFile('k.jsonc', '{\n "/teams/s/services/x": { "kind": "http",\n "speed": 3 } }')], 2, 'k.jsonc:3: /teams/s/services/x.speed: Unrecognized key: "speed"'],
    ['a file with a syntax error', ['apply', writeFile('e.jsonc', '{\n "/teams/s/services/x": {,} }')], 2, 'e.jsonc:2'],
    ['a path that no setting has', ['check', writeFile('p.jsonc', '{\n\n "/teams/s/speed/x": 1 }')], 2, 'p.jsonc:3: /teams/s/speed/x: no setting has this path'],
    ['a missing file', ['check', join(directory, 'none')], 2, 'invalid-settings'],
    ['a missing argument', ['get'], 2, 'Missing 1 required arg'],
    ['an unknown command', ['gett', '/'], 2, 'gett']
  ])('%s: exits with the code of the error table and prints the reason', async (_name, args, exitCode, reason) => {
    const result = await runCommand(args, env)
    expect([result.exitCode, result.stderr]).toEqual([exitCode, expect.stringContaining(reason)])
  })

  it('resends a change after a lost response and prints the change id when the outcome stays unknown', async () => {
    const set = ['set', '/teams/s/services/once', '{"kind":"http"}', '--change-id', 'x', '--json']
    const first = await runCommand(set, env)
    await runCommand(['delete', '/teams/s/services/once'], env)
    expect((await runCommand(set, env)).stdout).toBe(first.stdout)
    fleet.controls[0].signal('SIGSTOP')
    const lost = await runCommand(['set', '/teams/s/services/once', '{"kind":"http"}', '--change-id', 'y'], env)
    fleet.controls[0].signal('SIGCONT')
    expect([lost.exitCode, lost.stderr]).toEqual([8, expect.stringMatching(/--change-id y.*outcome: unknown/)])
  })

  it.each(['apply', 'backup', 'check', 'control', 'delete', 'diff', 'drain', 'engine', 'get', 'history', 'list', 'load', 'restore', 'router', 'set', 'stand-in', 'status', 'undrain'])('%s --help describes the command', async command => {
    const { stdout, exitCode } = await runCommand([command, '--help'])
    expect([exitCode, stdout]).toEqual([0, expect.stringMatching(/USAGE[^]*FLAGS/)])
  })
})
