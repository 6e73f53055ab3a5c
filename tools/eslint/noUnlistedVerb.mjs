// Reports functions and methods whose name does not begin with a verb of docs/verbs.md.
import { readFileSync } from 'node:fs'

const page = readFileSync(new URL('../../docs/verbs.md', import.meta.url), 'utf8')
const verbs = new Set([...page.matchAll(/^\| `([a-z]+)` \|/gm)].map(match => match[1]))

function getFirstWord (name) {
  return name.replace(/^[#_]+/, '').match(/^[a-z]+|^[A-Z]?[a-z]*/)?.[0].toLowerCase() ?? ''
}

export const noUnlistedVerb = {
  meta: { type: 'suggestion', schema: [], messages: { unlisted: "'{{name}}' does not begin with a verb listed in docs/verbs.md." } },
  create (context) {
    const check = (node, name) => {
      if (name && !verbs.has(getFirstWord(name))) context.report({ node, messageId: 'unlisted', data: { name } })
    }
    return {
      FunctionDeclaration: node => check(node, node.id?.name),
      MethodDefinition (node) {
        if (node.kind === 'method' && !node.computed) check(node, node.key.name)
      },
      VariableDeclarator (node) {
        const isFunction = node.init && /^(Arrow)?FunctionExpression$/.test(node.init.type)
        if (isFunction && node.id.type === 'Identifier') check(node, node.id.name)
      }
    }
  }
}
