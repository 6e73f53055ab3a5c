import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { errorTable } from '../src/contract/errorTable'
import { ErrorKind } from '../src/contract/ErrorKind'

const pages = ['README.md', ...readdirSync('docs', { recursive: true, encoding: 'utf8' }).filter(name => name.endsWith('.md')).map(name => join('docs', name))]
const readPage = (page: string): string => readFileSync(page, 'utf8')
/** Pages that describe the present code; those on measurements and incidents keep the names of their time. */
const currentPages = pages.filter(page => !/^docs\/(measurements|incidents)\//.test(page))
const listCodeWords = (): Set<string> => new Set(['src', 'platform', 'test', 'scripts', 'deploy'].flatMap(folder => readdirSync(folder, { recursive: true, encoding: 'utf8' })
  .filter(name => /\.(ts|mjs|jsonc)$/.test(name))
  .flatMap(name => readFileSync(join(folder, name), 'utf8').match(/\w+/g) ?? [])))
/** Lists the names in single backticks that look like a class or a type: two capitals, the first at the start, and a lower-case letter. */
const listTypeNames = (text: string): string[] => [...text.matchAll(/(?<!`)`([A-Z][A-Za-z]*)`(?!`)/g)].map(([, name]) => name).filter(name => /^.+[A-Z]/.test(name) && /[a-z]/.test(name))
const listAnchors = (text: string): string[] => [...text.matchAll(/^#+ (.+)$/gm)].map(([, title]) => title.toLowerCase().replace(/[^\p{L}\p{N} -]/gu, '').replaceAll(' ', '-'))

describe('the pages', () => {
  it.each(pages)('%s links to pages, anchors and files that exist', page => {
    const text = readPage(page)
    const links = [...text.matchAll(/\]\(([^)\s]+)\)/g)].map(([, link]) => link).filter(link => !/^[a-z]+:/.test(link))
    for (const link of links) {
      const [path, anchor] = link.split('#')
      const file = path === '' ? page : join(dirname(page), path)
      expect([link, existsSync(file)]).toEqual([link, true])
      if (anchor) expect(listAnchors(readPage(file))).toContain(anchor)
    }
    const named = [...text.matchAll(/(?<![\w/.`-])((?:docs|src|scripts|test|tools)\/[\w./-]*\w\.(?:md|ts|mjs|txt))/g)].map(([, file]) => file)
    for (const file of named) expect([file, existsSync(file)]).toEqual([file, true])
  })

  it('name only classes and types that occur in the code, so that no page describes code that no longer exists', () => {
    const words = listCodeWords()
    const names = currentPages.flatMap(page => listTypeNames(readPage(page)).map(name => ({ page, name })))
    expect(names.length).toBeGreaterThan(0)
    expect(names.filter(({ name }) => !words.has(name)).map(({ page, name }) => `${page}: ${name}`)).toEqual([])
  })

  it('docs/errors.md agrees with the table of errors, so that callers and operators can rely on it', () => {
    const rows = readPage('docs/errors.md').split('\n').filter(line => line.startsWith('| `')).map(line => line.split('|').slice(1, -1).map(cell => cell.trim().replaceAll('`', '')))
    const expected = ErrorKind.options.map(kind => {
      const { status, outcome, isRetryable, exitCode } = errorTable[kind]
      return [kind, String(status), outcome, isRetryable ? 'yes' : 'no', String(exitCode)]
    })
    expect(rows.map(row => row.slice(0, 5)).sort()).toEqual(expected.sort())
    for (const row of rows) expect(row.slice(5).every(cell => cell.length > 0)).toBe(true)
  })

  it('docs/OPERATIONS.md has a section with symptoms, commands and actions for each failure of the design page', () => {
    const design = readPage('docs/design.md').split('## 11.')[1].split('## 12.')[0]
    const failures = design.split('\n').filter(line => line.startsWith('| ') && !line.startsWith('| part ')).length
    const sections = readPage('docs/OPERATIONS.md').split(/^## /m).slice(1).filter(section => section.includes('**Symptoms:**'))
    expect(sections).toHaveLength(failures)
    for (const section of sections) expect(section).toMatch(/\*\*Commands:\*\*[^]*\*\*What to do:\*\*/)
  })

  it('docs/proofs.md names tests that exist, so that no guarantee loses its test unnoticed', () => {
    const named = [...readPage('docs/proofs.md').matchAll(/`((?:src|test)\/[\w./]+) › ([^`]+)`/g)]
    expect(named.length).toBeGreaterThan(30)
    for (const [, file, title] of named) expect([file, title, readPage(file).includes(title)]).toEqual([file, title, true])
  })
})
