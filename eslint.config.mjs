import neostandard from 'neostandard'
import local from './tools/eslint/index.mjs'

const COORDINATION_ROOMS = ['log', 'lease', 'routing', 'schedule', 'idempotency', 'membership', 'configuration', 'contract', 'link', 'lifecycle']
const DAEMON_ROOMS = ['instance', 'gateway', 'command', 'standIn', 'bench', 'load']

export default [
  ...neostandard({ ts: true, noJsx: true, ignores: ['dist/**', 'target/**', 'coverage/**', '.local/**'] }),
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    plugins: { local },
    rules: {
      'max-lines': ['error', 300],
      'no-console': 'error',
      'no-void': ['error', { allowAsStatement: true }],
      // A schema and the type inferred from it share a name; TypeScript itself reports real redeclarations.
      'no-redeclare': 'off',
      '@typescript-eslint/no-redeclare': 'off',
      'local/one-export': 'error',
      'local/no-unlisted-verb': 'error'
    }
  },
  {
    // Only the adapter knows the names of the users' platform.
    files: ['src/**/*.ts', 'test/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', {
        selector: 'Literal[value=/^(x-(attempt-id|deadline-ms|model-name|token-count|prefix-hash|response-seal|tenant-name|expect-instance|not-executed|kv-.*|pin-ms)|api-key|kv-(from|fetch))$|Config\\.(Replace|Get)/i]',
        message: 'Names of the platform belong in platform/.'
      }]
    }
  },
  { files: ['src/index.ts'], rules: { 'local/one-export': 'off' } },
  { files: ['src/**/test.ts', 'platform/**/test.ts', 'test/**/*.ts'], rules: { 'local/no-unlisted-verb': 'off', 'max-lines': 'off' } },
  { files: ['test/**/*.ts'], languageOptions: { globals: { describe: 'readonly', it: 'readonly', expect: 'readonly' } } },
  {
    // The coordination parts are embeddable, so they may not depend on the daemons.
    files: COORDINATION_ROOMS.map(room => `src/${room}/**/*.ts`),
    rules: {
      'no-restricted-imports': ['error', { patterns: DAEMON_ROOMS.map(room => ({ group: [`**/${room}/**`], message: 'Coordination parts do not import from the daemons.' })) }]
    }
  }
]
