import { RouteDocumentStore } from '.'

const create = (version: number, text: string) => ({ version, content: new TextEncoder().encode(text) })
const readText = (store: RouteDocumentStore) => new TextDecoder().decode(store.document?.content)

describe('RouteDocumentStore', () => {
  // Guards against reverting to an older document: two operators race, or a change is delivered again after a newer one.
  it('keeps the highest version, whatever the order of arrival', () => {
    const store = new RouteDocumentStore(() => {})
    expect([3, 1, 2].map((version, index) => store.apply(create(version, `v${version}`), index + 1))).toEqual([3, 3, 3])
    expect(readText(store)).toBe('v3')
  })

  // Guards against replacing the content of a version that was already acknowledged.
  it('keeps the first content of a version', () => {
    const store = new RouteDocumentStore(() => {})
    store.apply(create(3, 'first'), 1)
    store.apply(create(3, 'second'), 2)
    expect(readText(store)).toBe('first')
  })

  it('notifies only about changes and restores its state', () => {
    let changes = 0
    const store = new RouteDocumentStore(() => { changes++ })
    for (const [index, command] of [null, create(2, 'a'), create(2, 'b')].entries()) {
      store.apply(command, index + 1)
      store.notifyObservers()
    }
    expect(changes).toBe(1)
    let restored = 0
    const copy = new RouteDocumentStore(() => { restored++ })
    copy.install(store.getState())
    copy.notifyObservers()
    expect([copy.version, copy.offset, readText(copy), restored]).toEqual([2, 3, 'a', 1])
  })

  // Guards against a restart whose observers handle every document of the history instead of the newest.
  it('notifies once about all commands of a batch', () => {
    const versions: number[] = []
    const store: RouteDocumentStore = new RouteDocumentStore(() => { versions.push(store.version) })
    for (let version = 1; version <= 90; version++) store.apply(create(version, `v${version}`), version)
    store.notifyObservers()
    expect(versions).toEqual([90])
  })
})
