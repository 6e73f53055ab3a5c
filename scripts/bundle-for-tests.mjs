import { bundle } from './bundle.mjs'
import { bundlePlatform } from './bundlePlatform.mjs'

export default async function bundleForTests () {
  await bundle('dist/papayalead.cjs')
  await bundlePlatform('dist/platform.cjs')
}
