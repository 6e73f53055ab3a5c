import { bundle } from './bundle.mjs'

export default async function bundleForTests () {
  await bundle('dist/papayalead.cjs')
  await bundle('dist/platform.cjs', 'platform/main.ts')
}
