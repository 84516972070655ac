/**
 * The arguments of `profile`, `service` and `team`.
 */

import { CONFIG_KINDS } from '../../common/config/ProfileSchema.js'
import { ConfigCommands } from '../commands/ConfigCommands.js'

import type { Argv } from 'yargs'
import type { ConfigKind } from '../../common/config/Types.js'
import type { IGlobalArguments, Run } from './Types.js'

const DESCRIPTIONS: Readonly<Record<ConfigKind, string>> = {
  profile: 'how a class of work is treated',
  service: 'which profile a service runs under, and for which team',
  team: 'the quotas of a team'
}

const NAME = { type: 'string', demandOption: true } as const
const REVISION = { type: 'number', demandOption: true, coerce: toRevision, describe: 'the revision that you saw' } as const

export function addConfigCommands (parser: Argv<IGlobalArguments>, run: Run): Argv<IGlobalArguments> {
  return CONFIG_KINDS.reduce((all, kind) =>
    all.command(kind, `${DESCRIPTIONS[kind]}: list, get, put, delete, history, rollback, diff`, group =>
      addEditing(addReading(group, kind, run), kind, run)
        .demandCommand(1, `it isn't said what to do with the ${kind}`)
        .example(`$0 ${kind} get ${exampleOf(kind)} --json > version.json`, 'take a version with its revision')
        .example(`$0 ${kind} put ${exampleOf(kind)} --file version.json`, 'put it after an edit')
    ), parser)
}

function toRevision (value: number): number {
  if (Number.isSafeInteger(value) && value >= 0) return value
  throw new Error('a revision is a whole number')
}

function exampleOf (kind: ConfigKind): string {
  return { profile: 'urgent', service: 'chip-lookup', team: 'recovery' }[kind]
}

function addReading (parser: Argv<IGlobalArguments>, kind: ConfigKind, run: Run): Argv<IGlobalArguments> {
  return parser
    .command('list', `list every ${kind}`, all => all, args =>
      run(context => new ConfigCommands(context, kind).list(), args))
    .command('get <name>', `show a ${kind}`, all => all
      .positional('name', NAME)
      .option('everywhere', { type: 'boolean', default: false, describe: 'show which process has which revision' }), args =>
      run(context => {
        const commands = new ConfigCommands(context, kind)
        return args.everywhere ? commands.getEverywhere(args.name) : commands.get(args.name)
      }, args))
    .command('history <name>', 'show the kept revisions', all => all.positional('name', NAME), args =>
      run(context => new ConfigCommands(context, kind).history(args.name), args))
    .command('diff <name> <from> [to]', 'show what changed between two revisions', all => all
      .positional('name', NAME)
      .positional('from', { type: 'number', coerce: toRevision, demandOption: true })
      .positional('to', { type: 'number', coerce: toRevision, describe: 'the current one unless given' }), args =>
      run(context => new ConfigCommands(context, kind).diff(args.name, args.from, args.to), args))
}

function addEditing (parser: Argv<IGlobalArguments>, kind: ConfigKind, run: Run): Argv<IGlobalArguments> {
  return parser
    .command('put <name>', `put a new version of a ${kind}`, all => all
      .positional('name', NAME)
      .option('file', { type: 'string', describe: 'JSON with the whole version, or the output of get --json; - for standard input' })
      .option('like', { type: 'string', describe: `start from this ${kind}; without a revision it must be a new name` })
      .option('set', { type: 'string', array: true, describe: 'field=value, changes the version that is started from' })
      .option('revision', { type: 'number', coerce: toRevision, describe: 'the revision that you saw; 0 for something new' })
      .example(`$0 ${kind} put NAME --file new.json --revision=0`, 'create it from a file')
      .example(`$0 ${kind} put NAME --like ${exampleOf(kind)}`, 'create it from another one'), args =>
      run(context => new ConfigCommands(context, kind).put(args.name, args), args))
    .command('delete <name>', `delete a ${kind}`, all => all.positional('name', NAME).option('revision', REVISION), args =>
      run(context => new ConfigCommands(context, kind).delete(args.name, args.revision), args))
    .command('rollback <name> <to>', 'put an earlier revision again', all => all
      .positional('name', NAME)
      .positional('to', { type: 'number', coerce: toRevision, demandOption: true })
      .option('revision', REVISION), args =>
      run(context => new ConfigCommands(context, kind).rollback(args.name, args.to, args.revision), args))
}
