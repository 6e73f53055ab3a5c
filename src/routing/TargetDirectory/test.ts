import { TargetDirectory } from '.'

const createEntry = (id: string, isDraining = false) => ({ id, service: 's', host: '10.0.0.1', port: 1, zone: 'z', slots: 1, isDraining, warmupMs: 0 })

describe('TargetDirectory', () => {
  // Guards against new calls to a draining target.
  it('offers only the targets of a service that are not draining', () => {
    const directory = new TargetDirectory()
    expect([directory.isKnown, directory.list('s')]).toEqual([false, []])
    directory.replace([createEntry('t1'), createEntry('t2', true)])
    expect(directory.list('s').map(({ id }) => id)).toEqual(['t1'])
    expect([directory.find('t1')?.id, directory.find('t2'), directory.list('other')]).toEqual(['t1', undefined, []])
  })

  // Guards against treating an empty list as a list that was never received: the router would never become ready.
  it('reports whether a list is new or changed, also if it is empty', () => {
    const directory = new TargetDirectory()
    expect(directory.replace([])).toBe(true)
    expect(directory.isKnown).toBe(true)
    expect(directory.replace([])).toBe(false)
    expect(directory.replace([createEntry('t1')])).toBe(true)
  })
})
