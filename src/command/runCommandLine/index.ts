import { Command, Config, handle, type Interfaces, run } from '@oclif/core'
import pjson from '../../../package.json'
import { AppError } from '../../contract/AppError'
import { ApplyCommand } from '../ApplyCommand'
import { BackupCommand } from '../BackupCommand'
import { CheckCommand } from '../CheckCommand'
import { ControlCommand } from '../ControlCommand'
import { LoadCommand } from '../LoadCommand'
import { DeleteCommand } from '../DeleteCommand'
import { DiffCommand } from '../DiffCommand'
import { DrainCommand } from '../DrainCommand'
import { EngineCommand } from '../EngineCommand'
import { GetCommand } from '../GetCommand'
import { HistoryCommand } from '../HistoryCommand'
import { ListCommand } from '../ListCommand'
import { printError } from '../printError'
import { RestoreCommand } from '../RestoreCommand'
import { RouterCommand } from '../RouterCommand'
import { SetCommand } from '../SetCommand'
import { StandInCommand } from '../StandInCommand'
import { StatusCommand } from '../StatusCommand'
import { UndrainCommand } from '../UndrainCommand'

const COMMANDS = [
  RouterCommand, ControlCommand, CheckCommand, GetCommand, SetCommand, DeleteCommand, ListCommand, HistoryCommand, ApplyCommand,
  DiffCommand, StatusCommand, DrainCommand, UndrainCommand, BackupCommand, RestoreCommand, EngineCommand, LoadCommand, StandInCommand
]

/** Adds to each flag or argument definition its key as `name`, because the help of oclif reads the name from there. */
function addDefinitionNames<T extends object> (definitions: Record<string, T>): Record<string, T & { name: string }> {
  return Object.fromEntries(Object.entries(definitions).map(([name, definition]) => [name, { ...definition, name }]))
}

/** Creates the metadata of a command. Without it, oclif would read the metadata from files, which a bundle lacks. */
function createLoadableCommand (command: typeof Command): Command.Loadable {
  const { id, baseFlags, flags, args, description, examples } = command
  const named = { flags: addDefinitionNames({ ...baseFlags, ...flags }), args: addDefinitionNames(args) }
  const entry = { id, ...named, description, examples, aliases: [], hiddenAliases: [], hidden: false, strict: true, pluginName: pjson.name, pluginType: 'core' }
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
    commands: COMMANDS.map(createLoadableCommand),
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
 * @param argv - Arguments after the program name.
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
    if (!(error instanceof AppError)) return handle(error as Error)
    printError(error, { isJson: argv.includes('--json') })
  }
}
