import { noUnlistedVerb } from './noUnlistedVerb.mjs'
import { oneExport } from './oneExport.mjs'

export default { rules: { 'no-unlisted-verb': noUnlistedVerb, 'one-export': oneExport } }
