import { DocumentTable } from '.'

const create = (version: number, text: string) => ({ version, content: new TextEncoder().encode(text) })
const readText = (table: DocumentTable) => new TextDecoder().decode(table.document?.content)

describe('DocumentTable', () => {
  // Guards against reverting to an older document: two operators race, or a change is delivered again after a newer one.
  it('keeps the highest version, whatever the order of arrival', () => {
    const table = new DocumentTable(() => {})
    expect([3, 1, 2].map((version, index) => table.apply(create(version, `v${version}`), index + 1))).toEqual([3, 3, 3])
    expect(readText(table)).toBe('v3')
  })

  // Guards against replacing the content of a version that was already acknowledged.
  it('keeps the first content of a version', () => {
    const table = new DocumentTable(() => {})
    table.apply(create(3, 'first'), 1)
    table.apply(create(3, 'second'), 2)
    expect(readText(table)).toBe('first')
  })

  it('notifies only about changes and restores its state', () => {
    let changes = 0
    const table = new DocumentTable(() => { changes++ })
    table.apply(null, 1)
    table.apply(create(2, 'a'), 2)
    table.apply(create(2, 'b'), 3)
    expect(changes).toBe(1)
    const copy = new DocumentTable(() => {})
    copy.install(table.getState())
    expect([copy.version, copy.offset, readText(copy)]).toEqual([2, 3, 'a'])
  })
})
