import { PlatformSettings } from '../PlatformSettings'
import { startPlatform } from '.'

describe('the platform stand-in', () => {
  it('returns the old list until the lag has passed, so that membership must work with a stale list', async () => {
    const instance = { instance: 'r1', kind: 'router', zone: 'z1', state: 'live', host: '127.0.0.1', port: 7000 }
    const platform = await startPlatform({ host: '127.0.0.1', port: 0 }, PlatformSettings.parse({ instances: [instance], lagMs: 100 }))
    const url = `http://127.0.0.1:${platform.address.port}/instances`
    const getState = async (): Promise<string> => (await (await fetch(url)).json() as { instances: Array<{ state: string }> }).instances[0].state
    const changedAtMs = performance.now()
    await fetch(url, { method: 'PUT', body: JSON.stringify([{ ...instance, state: 'leaving' }]) })
    while (await getState() === 'live') await new Promise(resolve => setTimeout(resolve, 5))
    expect(performance.now() - changedAtMs).toBeGreaterThanOrEqual(100)
    await platform.close()
  })
})
