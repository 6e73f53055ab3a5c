import type { SuspectPart } from '../../contract/SuspectPart'
import type { Link } from '../../link/Link'
import { PromptQuarantine } from '../../routing/PromptQuarantine'
import { SuspectCopy } from '.'

const createSuspect = (part: string, changes: Partial<SuspectPart> = {}): SuspectPart => ({ service: 's', part, crashes: 3, blockedMs: 20_000, targets: ['t1'], ...changes })

function createLink () {
  const sent: Array<[string, unknown]> = []
  return { link: { send: (type: string, body: unknown) => { sent.push([type, body]) } } as unknown as Link, sent }
}

function createCopy () {
  const quarantine = new PromptQuarantine()
  return { quarantine, copy: new SuspectCopy(quarantine), listParts: () => quarantine.list(0).map(({ part }) => part).sort() }
}

describe('SuspectCopy', () => {
  it('follows the scheduler: its later summaries replace the copy, also with an empty list', () => {
    const { copy, listParts } = createCopy()
    const { link, sent } = createLink()
    copy.apply({ suspects: [], term: 1 }, { link, isDetached: false }, 0)
    copy.apply({ suspects: [createSuspect('a'), createSuspect('b')], term: 1 }, { link, isDetached: false }, 0)
    expect(listParts()).toEqual(['a', 'b'])
    copy.apply({ suspects: [createSuspect('b')], term: 1 }, { link, isDetached: false }, 0)
    expect(listParts()).toEqual(['b'])
    copy.apply({ suspects: [], term: 1 }, { link, isDetached: false }, 0)
    expect(listParts()).toEqual([])
    // Costs nothing while nothing is suspected.
    expect(sent).toEqual([])
  })

  // Guards against a memory that is lost with the leader: the empty list of a new one would clear all copies. The same
  // replica may lead again in a later term, on the same link.
  it.each([['on another link', 1], ['on the same link', 0]])('hands its copy over to a new scheduler %s, and loses nothing to the empty list of that', (_case, next) => {
    const { copy, listParts } = createCopy()
    const links = [createLink(), createLink()]
    copy.apply({ suspects: [], term: 1 }, { link: links[0].link, isDetached: false }, 0)
    copy.apply({ suspects: [createSuspect('a')], term: 1 }, { link: links[0].link, isDetached: false }, 0)
    copy.apply({ suspects: [], term: 2 }, { link: links[next].link, isDetached: false }, 0)
    expect(links[next].sent).toMatchObject([['adoptSuspects', [{ part: 'a', crashes: 3, blockedMs: 20_000 }]]])
    expect(listParts()).toEqual(['a'])
  })

  // Guards against crashes that a router saw while it decided by itself, and that the next summary clears.
  it('keeps what the router observed while it decided by itself, and hands it over', () => {
    const { copy, quarantine, listParts } = createCopy()
    const { link, sent } = createLink()
    copy.apply({ suspects: [], term: 1 }, { link, isDetached: false }, 0)
    copy.detach()
    quarantine.recordCrash({ service: 's', target: 't1', prompts: [[{ id: 'own', tokens: 1 }, { id: 'last', tokens: 1 }]] }, 0)
    copy.apply({ suspects: [createSuspect('a')], term: 1 }, { link, isDetached: true }, 0)
    expect(listParts()).toEqual(['a', 'own'])
    copy.apply({ suspects: [createSuspect('a')], term: 1 }, { link, isDetached: false }, 0)
    expect(sent).toMatchObject([['adoptSuspects', [{ part: 'own', crashes: 1 }, { part: 'a' }]]])
    expect(listParts()).toEqual(['a', 'own'])
  })

  it('hands over a bounded number of parts, those with the most crashes', () => {
    const { copy, quarantine } = createCopy()
    const { link, sent } = createLink()
    quarantine.merge(Array.from({ length: 200 }, (_, index) => createSuspect(`p${index}`, { crashes: index })), 0)
    copy.apply({ suspects: [], term: 1 }, { link, isDetached: false }, 0)
    const [[, parts]] = sent as [[string, SuspectPart[]]]
    expect(parts).toHaveLength(64)
    expect(Math.min(...parts.map(({ crashes }) => crashes))).toBe(136)
  })
})
