import { startFleet } from './_lib/startFleet'
import { waitFor } from './_lib/waitFor'

interface RecordedCommand { id: string, fencingToken: number, isAccepted: boolean }

describe('commands to engines over real processes', () => {
  it('keep fencing tokens increasing across a leader change and run a resent command once', async () => {
    const fleet = await startFleet({
      controls: 3,
      hasProxies: false,
      engines: [{ name: 'e1', zone: 'z1', service: 'llama', options: { isFencingChecked: true } }],
      settings: {}
    })
    try {
      await fleet.apply({ '/teams/t/targets/e1': { service: 'llama', zone: 'z1', slots: 8, url: fleet.engines[0].url, fencing: 'checked' } })
      const send = async (control: number, changeId: string) => {
        const response = await fetch(`${fleet.controls[control].url}/v1/commands`, {
          method: 'POST',
          headers: { authorization: `Bearer ${fleet.token}` },
          body: JSON.stringify({ changeId, target: 'e1', action: { kind: 'change-role', role: 'prefill' } })
        })
        return (await response.json() as { result: string }).result
      }
      const readCommands = async (): Promise<RecordedCommand[]> => (await (await fetch(`${fleet.engines[0].url}/record`)).json() as { commands: RecordedCommand[] }).commands
      expect(await send(0, 'a')).toBe('done')
      expect(await send(1, 'a')).toBe('done')
      await fleet.controls[0].kill()
      expect(await waitFor('a new leader', () => send(1, 'b'))).toBe('done')
      await fleet.controls[0].restart()
      expect(await waitFor('the restarted replica', () => send(0, 'c'))).toBe('done')
      const commands = await readCommands()
      expect(commands.map(({ id }) => id.split('/')[1])).toEqual(['a', 'b', 'c'])
      expect(commands.every(({ isAccepted }) => isAccepted)).toBe(true)
      const tokens = commands.map(({ fencingToken }) => fencingToken)
      expect([...tokens].sort((a, b) => a - b)).toEqual(tokens)
    } finally {
      await fleet.stop()
    }
  })
})
