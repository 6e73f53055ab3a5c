import { removeSecrets } from '.'

describe('removeSecrets', () => {
  it('hides keys, tokens and their hashes at any depth, so that a logged setting does not disclose them', () => {
    const logged = removeSecrets({
      value: { keyHashes: ['secret-1'], weight: 2, operators: [{ tokenHash: 'secret-2' }] },
      clusterKey: 'secret-3',
      message: 'refused Bearer secret-4',
      reason: new Error('header Bearer secret-5')
    })
    expect(JSON.stringify(logged)).not.toMatch(/secret-/)
    expect(logged).toMatchObject({ value: { weight: 2 } })
  })

  it('terminates on a cyclic value, so that a log line cannot block the process', () => {
    const cyclic: Record<string, unknown> = {}
    cyclic.self = cyclic
    expect(JSON.stringify(removeSecrets(cyclic))).toContain('[nested]')
  })
})
