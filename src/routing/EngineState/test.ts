import { EngineState } from '.'

const part = (id: string, tokens: number) => ({ id, tokens })
const call = (id: string, tokens = 1_000, readMs = 0) => ({ id, parts: [part(id, tokens)], readMs })

describe('EngineState', () => {
  it('knows what is kept of a prompt, up to the first missing part', () => {
    const engine = new EngineState(10_000)
    engine.start({ id: '1', parts: [part('a', 1_000), part('b', 500)], readMs: 20 }, 0)
    expect(engine.computeRead([part('a', 1_000), part('c', 100), part('b', 500)], 1_600).keptTokens).toBe(1_000)
    expect(engine.computeRead([part('a', 1_000), part('b', 500)], 1_500).keptTokens).toBe(1_500)
  })

  // Guards against prompts that are sent to where their parts have long been evicted.
  it('evicts the least recently used parts, but none of a running request', () => {
    const engine = new EngineState(2_500)
    engine.start(call('old'), 0)
    engine.start(call('idle'), 0)
    engine.stop(call('idle'))
    engine.start(call('new'), 0)
    expect(['old', 'idle', 'new'].map(id => engine.has(id))).toEqual([true, false, true])
  })

  it('counts what runs and what is still to be read', () => {
    const engine = new EngineState(10_000)
    engine.start(call('a', 100, 30), 0)
    engine.start(call('b', 100, 50), 0)
    engine.read(call('a', 100, 30), 10)
    engine.stop(call('a', 100, 30))
    expect([engine.running, engine.pendingMs]).toEqual([1, 50])
    engine.stop(call('b', 100, 50))
    expect([engine.running, engine.pendingMs]).toEqual([0, 0])
  })

  // Load pattern: an engine falls silent. Its open connections still take requests, of which none is ever answered.
  it('is silent when nothing comes although a call should long have begun', () => {
    const engine = new EngineState(10_000)
    engine.start(call('a', 100, 200), 0)
    expect([engine.isSilent(1_100), engine.isSilent(1_300)]).toEqual([false, true])
    engine.start(call('b', 100, 0), 1_300)
    engine.read(call('b', 100, 0), 1_400)
    expect(engine.isSilent(3_000)).toBe(false)
    engine.stop(call('a', 100, 200))
    expect(engine.isSilent(9_000)).toBe(false)
  })
})
