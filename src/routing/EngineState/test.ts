import { EngineState } from '.'

const part = (id: string, tokens: number) => ({ id, tokens })

describe('EngineState', () => {
  it('knows what is kept of a prompt, up to the first missing part', () => {
    const engine = new EngineState(10_000)
    engine.start([part('a', 1_000), part('b', 500)], 20)
    expect(engine.computeRead([part('a', 1_000), part('c', 100), part('b', 500)], 1_600).keptTokens).toBe(1_000)
    expect(engine.computeRead([part('a', 1_000), part('b', 500)], 1_500).keptTokens).toBe(1_500)
  })

  // Guards against prompts that are sent to where their parts have long been evicted.
  it('evicts the least recently used parts, but none of a running request', () => {
    const engine = new EngineState(2_500)
    engine.start([part('old', 1_000)], 0)
    engine.start([part('idle', 1_000)], 0)
    engine.stop([part('idle', 1_000)])
    engine.start([part('new', 1_000)], 0)
    expect(['old', 'idle', 'new'].map(id => engine.has(id))).toEqual([true, false, true])
  })

  it('counts what runs and what is still to be read', () => {
    const engine = new EngineState(10_000)
    engine.start([part('a', 100)], 30)
    engine.start([part('b', 100)], 50)
    engine.read(30)
    engine.stop([part('a', 100)])
    expect([engine.running, engine.pendingMs]).toEqual([1, 50])
  })
})
