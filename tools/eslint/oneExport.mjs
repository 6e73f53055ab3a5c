// Reports files that export more than one name. A schema and the type inferred from it share a name and count as one.

function listDeclaredNames (declaration) {
  if (declaration.type === 'VariableDeclaration') return declaration.declarations.map(d => d.id.name)
  return [declaration.id?.name]
}

function listExportedNames (node) {
  if (node.type === 'ExportAllDeclaration') return ['*']
  if (node.type === 'ExportDefaultDeclaration') return ['default']
  if (node.declaration) return listDeclaredNames(node.declaration)
  return node.specifiers.map(s => s.exported.name)
}

export const oneExport = {
  meta: { type: 'suggestion', schema: [], messages: { many: 'A file exports one name; this one exports {{names}}.' } },
  create (context) {
    const names = new Set()
    const collect = node => listExportedNames(node).forEach(name => names.add(name))
    return {
      ExportNamedDeclaration: collect,
      ExportDefaultDeclaration: collect,
      ExportAllDeclaration: collect,
      'Program:exit' (node) {
        if (names.size > 1) context.report({ node, messageId: 'many', data: { names: [...names].join(', ') } })
      }
    }
  }
}
