import { EngineState } from '.'

const part = (id: string, tokens: number) => ({ id, tokens })
const call = (id: string, tokens = 1_000, readMs = 0) => ({ id, parts: [part(id, tokens)], readMs })

describe('EngineState', () => {
  it('counts the cached parts of a prompt up to the first missing one', () => {
    const engine = new EngineState(10_000)
    engine.start({ id: '1', parts: [part('a', 1_000), part('b', 500)], readMs: 20 }, 0)
    expect(engine.computePrefill([part('a', 1_000), part('c', 100), part('b', 500)], 1_600).cachedTokens).toBe(1_000)
    expect(engine.computePrefill([part('a', 1_000), part('b', 500)], 1_500).cachedTokens).toBe(1_500)
  })

  // Guards against prompts that are placed at an engine that has already evicted their parts.
  it('evicts the least recently used parts, except those of running requests', () => {
    const engine = new EngineState(2_500)
    engine.start(call('old'), 0)
    engine.start(call('idle'), 0)
    engine.stop(call('idle'))
    engine.start(call('new'), 0)
    expect(['old', 'idle', 'new'].map(id => engine.isCached(id))).toEqual([true, false, true])
  })

  it('counts running calls and outstanding prefill time', () => {
    const engine = new EngineState(10_000)
    engine.start(call('a', 100, 30), 0)
    engine.start(call('b', 100, 50), 0)
    engine.recordFirstEvent(call('a', 100, 30), 10)
    engine.stop(call('a', 100, 30))
    expect([engine.running, engine.pendingPrefillMs]).toEqual([1, 50])
    engine.stop(call('b', 100, 50))
    expect([engine.running, engine.pendingPrefillMs]).toEqual([0, 0])
  })

  // Load pattern: an engine hangs. Its open connections still accept requests, but none of them is answered.
  it('is unresponsive when no first event arrives although a call is overdue', () => {
    const engine = new EngineState(10_000)
    engine.start(call('a', 100, 200), 0)
    expect([engine.isUnresponsive(1_100), engine.isUnresponsive(1_300)]).toEqual([false, true])
    engine.start(call('b', 100, 0), 1_300)
    engine.recordFirstEvent(call('b', 100, 0), 1_400)
    expect(engine.isUnresponsive(3_000)).toBe(false)
    engine.stop(call('a', 100, 200))
    expect(engine.isUnresponsive(9_000)).toBe(false)
  })
})
