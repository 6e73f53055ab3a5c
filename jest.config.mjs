// Packages that ship only ES modules and must be transformed for jest.
const esmOnlyPackages = ['p-queue', 'p-timeout', 'eventemitter3', 'p-retry', 'is-network-error', 'eventsource-parser', 'pure-rand']

export default {
  testEnvironment: 'node',
  testMatch: ['<rootDir>/src/**/test.ts', '<rootDir>/platform/**/test.ts', '<rootDir>/test/**/*.test.ts'],
  transform: {
    '^.+\\.(ts|js|mjs)$': ['@swc/jest', { jsc: { parser: { syntax: 'typescript' }, target: 'es2022' }, module: { type: 'commonjs' } }]
  },
  transformIgnorePatterns: [`/node_modules/(?!(${esmOnlyPackages.join('|')})/)`],
  modulePathIgnorePatterns: ['<rootDir>/dist/'],
  globalSetup: '<rootDir>/scripts/bundle-for-tests.mjs',
  // Each worker may run a fleet of some twenty processes.
  maxWorkers: 4,
  // Without it Node.js 20 was seen to loop in the clean-up of socket handles after the last test (uv_run in CleanupHandles).
  forceExit: true,
  testTimeout: 60_000
}
