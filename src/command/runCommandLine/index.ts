import { Command, Config, handle, type Interfaces, run } from '@oclif/core'
import pjson from '../../../package.json'
import { ControlCommand } from '../ControlCommand'
import { LoadCommand } from '../LoadCommand'
import { RouterCommand } from '../RouterCommand'
import { SetCommand } from '../SetCommand'
import { StandInCommand } from '../StandInCommand'

const COMMANDS = [ControlCommand, LoadCommand, RouterCommand, SetCommand, StandInCommand]

/** Describes a command class in the form that oclif otherwise reads from files, which a bundle does not have. */
function createEntry (command: typeof Command): Command.Loadable {
  const { id, flags, args, description } = command
  const entry = { id, flags, args, description, aliases: [], hiddenAliases: [], hidden: false, strict: true, pluginName: pjson.name, pluginType: 'core' }
  return { ...entry, load: async () => command } as unknown as Command.Loadable
}

function createPlugin (root: string): Interfaces.Plugin {
  const plugin = {
    name: pjson.name,
    version: pjson.version,
    type: 'core',
    root,
    alias: pjson.name,
    isRoot: true,
    valid: true,
    moduleType: 'commonjs',
    options: { root },
    pjson: { ...pjson, oclif: { bin: pjson.name } },
    commands: COMMANDS.map(createEntry),
    commandIDs: COMMANDS.map(command => command.id),
    commandsDir: undefined,
    hasManifest: false,
    hooks: {},
    topics: [],
    tag: 'latest',
    children: [],
    async load () {},
    async findCommand (id: string) { return COMMANDS.find(command => command.id === id) }
  }
  return plugin as unknown as Interfaces.Plugin
}

/**
 * @name runCommandLine
 * @category Command
 * @summary Parses the arguments and runs a command.
 *
 * @param argv - Arguments after the name of the program.
 *
 * @example
 * await runCommandLine(['router', '--config', 'router.jsonc'])
 */
export async function runCommandLine (argv: string[]): Promise<void> {
  const root = process.cwd()
  const plugin = createPlugin(root)
  const options = { root, pjson: plugin.pjson, plugins: new Map([[plugin.name, plugin]]) }
  try {
    const config = new Config(options as unknown as Interfaces.Options)
    await config.load()
    await run(argv, config)
  } catch (error) {
    await handle(error as Error)
  }
}
