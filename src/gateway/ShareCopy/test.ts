import type { Link } from '../../link/Link'
import { AccountShares } from '../../routing/AccountShares'
import { ShareCopy } from '.'

function createLink (): { link: Link, sent: Array<[string, unknown]> } {
  const sent: Array<[string, unknown]> = []
  return { link: { send: (type: string, body: unknown) => { sent.push([type, body]) } } as unknown as Link, sent }
}

describe('ShareCopy', () => {
  // Guards against a new scheduler, or a new term of the same one, whose empty table replaces the memory of the fleet.
  it('answers the first summary of a scheduler with its copy, and follows the later ones', () => {
    const shares = new AccountShares()
    const copy = new ShareCopy(shares)
    const [first, second] = [createLink(), createLink()]
    copy.apply({ shares: [['hot', 900, 90], ['small', 20, 10]], term: 1 }, first.link, 0)
    expect(first.sent).toEqual([])
    copy.apply({ shares: [['hot', 900, 100]], term: 1 }, first.link, 0)
    expect(shares.list(0)).toEqual([['hot', 900, 100]])
    copy.apply({ shares: [], term: 2 }, first.link, 0)
    copy.apply({ shares: [], term: 2 }, second.link, 0)
    const handover = ['adoptShares', [['hot', 900, 100]]]
    expect([first.sent, second.sent]).toEqual([[handover], [handover]])
    copy.apply({ shares: [], term: 2 }, second.link, 0)
    expect(shares.list(0)).toEqual([])
  })
})
