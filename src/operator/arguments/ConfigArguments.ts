/**
 * Defines the arguments of the commands `profile`, `service` and `team`.
 */

import { CONFIG_KINDS } from '../../common/config/ProfileSchema.js'
import { ConfigCommands } from '../commands/ConfigCommands.js'

import type { Argv } from 'yargs'
import type { ConfigKind } from '../../common/config/Types.js'
import type { IGlobalArguments, Run } from './Types.js'

const KIND_DESCRIPTIONS: Readonly<Record<ConfigKind, string>> = {
  profile: 'how a class of work is treated',
  service: 'which profile a service runs under, and for which team',
  team: 'the quotas of a team'
}

const NAME_ARGUMENT = { type: 'string', demandOption: true } as const
const REVISION_OPTION = { type: 'number', demandOption: true, coerce: parseRevision, describe: 'the revision that the edit is based on' } as const

export function addConfigCommands (parser: Argv<IGlobalArguments>, run: Run): Argv<IGlobalArguments> {
  return CONFIG_KINDS.reduce((extendedParser, kind) =>
    extendedParser.command(kind, `${KIND_DESCRIPTIONS[kind]}: list, get, put, delete, history, rollback, diff`, group =>
      addEditCommands(addReadCommands(group, kind, run), kind, run)
        .demandCommand(1, `name a subcommand of ${kind}`)
        .example(`$0 ${kind} get ${exampleNameOf(kind)} --json > version.json`, 'save the current version with its revision')
        .example(`$0 ${kind} put ${exampleNameOf(kind)} --file version.json`, 'store the version after an edit')
    ), parser)
}

function parseRevision (value: number): number {
  if (Number.isSafeInteger(value) && value >= 0) return value
  throw new Error('a revision is a whole number')
}

function exampleNameOf (kind: ConfigKind): string {
  return { profile: 'urgent', service: 'chip-lookup', team: 'recovery' }[kind]
}

function addReadCommands (parser: Argv<IGlobalArguments>, kind: ConfigKind, run: Run): Argv<IGlobalArguments> {
  return parser
    .command('list', `list every ${kind}`, subparser => subparser, args =>
      run(context => new ConfigCommands(context, kind).list(), args))
    .command('get <name>', `show a ${kind}`, subparser => subparser
      .positional('name', NAME_ARGUMENT)
      .option('everywhere', { type: 'boolean', default: false, describe: 'show which process has which revision' }), args =>
      run(context => {
        const commands = new ConfigCommands(context, kind)
        return args.everywhere ? commands.getEverywhere(args.name) : commands.get(args.name)
      }, args))
    .command('history <name>', 'show the revisions in the history', subparser => subparser.positional('name', NAME_ARGUMENT), args =>
      run(context => new ConfigCommands(context, kind).history(args.name), args))
    .command('diff <name> <from> [to]', 'show what changed between two revisions', subparser => subparser
      .positional('name', NAME_ARGUMENT)
      .positional('from', { type: 'number', coerce: parseRevision, demandOption: true })
      .positional('to', { type: 'number', coerce: parseRevision, describe: 'by default the current revision' }), args =>
      run(context => new ConfigCommands(context, kind).diff(args.name, args.from, args.to), args))
}

function addEditCommands (parser: Argv<IGlobalArguments>, kind: ConfigKind, run: Run): Argv<IGlobalArguments> {
  return parser
    .command('put <name>', `store a new version of a ${kind}`, subparser => subparser
      .positional('name', NAME_ARGUMENT)
      .option('file', { type: 'string', describe: 'JSON with the complete new version, or the output of get --json; - for standard input' })
      .option('like', { type: 'string', describe: `copy this ${kind}; without a revision the name must be new` })
      .option('set', { type: 'string', array: true, describe: 'field=value pairs that change the current version, or the copy' })
      .option('revision', { type: 'number', coerce: parseRevision, describe: 'the revision that the edit is based on; 0 for a new entry' })
      .example(`$0 ${kind} put NAME --file new.json --revision=0`, 'create an entry from a file')
      .example(`$0 ${kind} put NAME --like ${exampleNameOf(kind)}`, 'create a copy of another entry'), args =>
      run(context => new ConfigCommands(context, kind).put(args.name, args), args))
    .command('delete <name>', `delete a ${kind}`, subparser => subparser.positional('name', NAME_ARGUMENT).option('revision', REVISION_OPTION), args =>
      run(context => new ConfigCommands(context, kind).delete(args.name, args.revision), args))
    .command('rollback <name> <to>', 'restore an earlier revision', subparser => subparser
      .positional('name', NAME_ARGUMENT)
      .positional('to', { type: 'number', coerce: parseRevision, demandOption: true })
      .option('revision', REVISION_OPTION), args =>
      run(context => new ConfigCommands(context, kind).rollback(args.name, args.to, args.revision), args))
}
