import { execFileSync } from 'node:child_process'
import { mkdtempSync, readFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { transformSync } from 'esbuild'
import * as library from '../src'

const entries = [...readFileSync('src/index.ts', 'utf8').matchAll(/^export \{ (\w+) \} from '(.+)'$/gm)].map(([, name, path]) => ({ name, file: join('src', path, 'index.ts') }))
const readExample = (file: string): string => {
  const comment = /@example\n([^]*?)\n \*\//.exec(readFileSync(file, 'utf8'))
  return comment?.[1].replace(/^ \* ?/gm, '') ?? ''
}
/** Turns each line `expression // value` into an assertion of the value. */
const addChecks = (example: string): string => example.replace(/^(?!const |let )(.+?) \/\/ (.+)$/gm, 'check(await ($1), $2)')

describe('the embeddable library', () => {
  const directory = process.cwd()
  beforeAll(() => process.chdir(mkdtempSync(join(tmpdir(), 'papayalead-library-'))))
  afterAll(() => process.chdir(directory))

  it.each(entries.map(({ name, file }) => [name, join(directory, file)]))('the example of %s runs and gives the values that it states, so that embedders can rely on it', async (_name, file) => {
    const { code } = transformSync(`export default async () => {${addChecks(readExample(file))}\n}`, { loader: 'ts', format: 'cjs' })
    const check = (actual: unknown, expected: unknown): void => expect(actual).toEqual(expected)
    const exported = { exports: {} as { default?: () => Promise<void> } }
    // eslint-disable-next-line no-new-func -- the code is this repository's own documentation
    new Function('module', 'check', ...Object.keys(library), code)(exported, check, ...Object.values(library))
    expect(readExample(file)).not.toBe('')
    await exported.exports.default!()
  })

  it('can be imported by its package name after the build, with type declarations', () => {
    execFileSync(process.execPath, ['scripts/build-lib.mjs'], { cwd: directory })
    const script = 'import("papayalead").then(({ FairQueue }) => console.log(new FairQueue().size))'
    expect(execFileSync(process.execPath, ['-e', script], { cwd: directory, encoding: 'utf8' })).toBe('0\n')
    expect(readFileSync(join(directory, 'dist/lib/types/index.d.ts'), 'utf8')).toContain('FairQueue')
  })
})
