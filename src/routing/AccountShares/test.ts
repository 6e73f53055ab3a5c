import { AccountShares } from '.'

function createShares (rows: Array<[account: string, demand: number, service: number]>): AccountShares {
  const shares = new AccountShares()
  for (const [account, demand, service] of rows) {
    shares.recordDemand(account, demand, 0)
    shares.recordService(account, service, 0)
  }
  return shares
}

describe('AccountShares', () => {
  // Guards against an account that gets far less than its share while the best served one gets many times as much.
  it('finds the accounts beyond their max-min fair share and those short of it', () => {
    const shares = createShares([['hot', 900_000, 700_000], ['large', 900_000, 200_000], ['small', 100_000, 50_000], ['served', 50_000, 50_000]])
    // 1,000,000 tokens were served: 50,000 and 100,000 to accounts that request less than the share, 425,000 to each other.
    expect(shares.getStanding('hot', 0).shareRatio).toBeCloseTo(700 / 425)
    expect(shares.getStanding('large', 0)).toMatchObject({ shareRatio: 200 / 425, coverage: 200 / 425 })
    expect(shares.getStanding('small', 0).coverage).toBe(0.5)
    expect(shares.getStanding('small', 0, { pendingTokens: 20_000 }).coverage).toBe(0.7)
    expect(shares.getStanding('served', 0).coverage).toBe(1)
  })

  // Guards against limits on a large account while nobody is refused.
  it('puts no account beyond its share while all are served in full', () => {
    const shares = createShares([['hot', 9_000, 9_000], ['small', 100, 100]])
    expect(shares.getStanding('hot', 0)).toEqual({ service: 9_000, shareRatio: 0, coverage: 1 })
    expect(shares.getStanding('new', 0)).toEqual({ service: 0, shareRatio: 0, coverage: 1 })
    expect(shares.list(0)).toEqual([])
  })

  // Guards against free slots and queues that are closed to an account although nobody else is short.
  it('puts no account beyond its share while the others get what they are due, but for a prompt', () => {
    const alone = createShares([['hot', 900_000, 700_000]])
    expect(alone.getStanding('hot', 0)).toMatchObject({ shareRatio: 0, coverage: 1 })
    const shares = createShares([['hot', 900_000, 700_000], ['small', 40_000, 20_000]])
    expect(shares.getStanding('hot', 0).shareRatio).toBe(0)
    shares.recordDemand('small', 40_000, 0)
    expect(shares.getStanding('hot', 0).shareRatio).toBeGreaterThan(1)
  })

  it('lets past traffic decay, and forgets accounts without any', () => {
    const shares = createShares([['a', 1_000, 500]])
    shares.recordDemand('a', 1_000, 4_000)
    expect(shares.getStanding('a', 4_000).service).toBeCloseTo(183.9, 1)
    expect(shares.list(4_000)).toEqual([['a', 1_368, 184]])
    expect(shares.list(200_000)).toEqual([])
  })

  // Guards against a new scheduler, or a router that decides by itself, for which a hot account is a new one.
  it('continues with the figures of another table', () => {
    const source = createShares([['hot', 9_000, 700], ['small', 100, 50]])
    const copy = createShares([['gone', 10, 10]])
    copy.replace(source.list(0), 0)
    expect(copy.getStanding('hot', 0)).toEqual(source.getStanding('hot', 0))
    expect(copy.list(0)).toEqual(source.list(0))
    const leader = createShares([['small', 20, 20]])
    leader.merge(copy.list(0), 0)
    leader.merge(copy.list(1_000), 1_000)
    expect(leader.list(0)).toEqual(source.list(0))
  })
})
