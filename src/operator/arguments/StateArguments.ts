/**
 * Defines the arguments of the commands that inspect and drain processes, check settings and analyse logs.
 */

import { analyse } from '../commands/AnalyseCommand.js'
import { checkSettings } from '../commands/CheckSettings.js'
import { StateCommands } from '../commands/StateCommands.js'

import type { Argv } from 'yargs'
import type { ListName } from '../commands/StateCommands.js'
import type { IGlobalArguments, Run } from './Types.js'

const EVERYWHERE_OPTION = { type: 'boolean', default: false, describe: 'query every process of the cell' } as const

const LIST_DESCRIPTIONS: Readonly<Record<ListName, string>> = {
  hosts: 'list the upstream hosts and what runs on them',
  jobs: 'list the jobs and their tasks',
  shards: 'list the shards with their owners and epochs',
  members: 'list the processes of the cell'
}

export function addStateCommands (parser: Argv<IGlobalArguments>, run: Run): Argv<IGlobalArguments> {
  const names = Object.keys(LIST_DESCRIPTIONS) as ListName[]
  const withLists = names.reduce((extendedParser, name) =>
    extendedParser.command(name, LIST_DESCRIPTIONS[name], subparser => subparser.option('everywhere', EVERYWHERE_OPTION), args =>
      run(context => new StateCommands(context).list(name, args.everywhere), args)), parser)
  return addAnalyseCommand(addProcessCommands(addOutcomesCommand(withLists, run), run), run)
}

function addAnalyseCommand (parser: Argv<IGlobalArguments>, run: Run): Argv<IGlobalArguments> {
  return parser.command('analyse <files..>', 'summarize how jobs ended and where they lost time, from the logs of all controllers', subparser => subparser
    .positional('files', { type: 'string', array: true, demandOption: true, describe: 'log files; - for standard input' })
    .option('window-s', { type: 'number', default: 2, describe: 'length of a time window, in seconds' })
    .option('all', { type: 'boolean', default: false, describe: 'also show windows in which all jobs were in time' })
    .example('$0 analyse controller-*.log', 'find out why jobs were late'), args =>
    run(context => analyse(context, { files: args.files, windowS: args.windowS, all: args.all }), args))
}

function addOutcomesCommand (parser: Argv<IGlobalArguments>, run: Run): Argv<IGlobalArguments> {
  return parser.command('outcomes', 'show the outcomes of requests by service and caller', subparser => subparser
    .option('service', { type: 'string', describe: 'show only this service' })
    .option('caller', { type: 'string', describe: 'show only this caller' })
    .option('histogram', { type: 'boolean', default: false, describe: 'draw a histogram of the waiting times' })
    .option('everywhere', EVERYWHERE_OPTION)
    .example('$0 outcomes --service chip-lookup --histogram --everywhere', 'show the waiting times of one service over all gateways'), args =>
    run(context => new StateCommands(context).outcomes(args), args))
}

function addProcessCommands (parser: Argv<IGlobalArguments>, run: Run): Argv<IGlobalArguments> {
  return parser
    .command('metrics', 'show the resource use and the latencies of a process', subparser => subparser, args =>
      run(context => new StateCommands(context).metrics(), args))
    .command('dump [section]', 'print the state of a process', subparser => subparser.positional('section', { type: 'string' }), args =>
      run(context => new StateCommands(context).dump(args.section), args))
    .command('drain', 'drain a process or a host: running work is finished, no new work is accepted', subparser => subparser
      .option('host', { type: 'string', describe: 'an upstream host; by default the process itself' }), args =>
      run(context => new StateCommands(context).drain(args.host), args))
    .command('check-settings <file>', 'check a settings file', subparser => subparser
      .positional('file', { type: 'string', demandOption: true })
      .example('$0 check-settings examples/pawprint/lakes-west-gateway.ini', 'check an example'), args =>
      run(context => checkSettings(context, args.file), args))
}
