/**
 * Defines the arguments of the commands that act as a caller.
 */

import { RequestCommands } from '../commands/RequestCommands.js'

import type { Argv } from 'yargs'
import type { IGlobalArguments, Run } from './Types.js'

const JOB_ID_ARGUMENT = { type: 'string', demandOption: true, describe: 'the id of the submitted job' } as const

export function addRequestCommands (parser: Argv<IGlobalArguments>, run: Run): Argv<IGlobalArguments> {
  return parser
    .command('submit <service>', 'send a request and print the response', subparser => subparser
      .positional('service', { type: 'string', demandOption: true })
      .option('caller', { type: 'string', default: 'operator', describe: 'the caller that the request is sent for' })
      .option('request-id', { type: 'string', describe: 'repeat the id of an earlier request to learn its outcome' })
      .option('idempotent', { type: 'boolean', describe: 'whether the request may run more than once; by default the profile decides' })
      .option('deadline-ms', { type: 'number', describe: 'the time within which the response is useful' })
      .option('file', { type: 'string', describe: 'the request body; - for standard input' })
      .option('content-type', { type: 'string', default: 'application/octet-stream' })
      .example('$0 submit chip-lookup --idempotent --file chip.json', ''), args =>
      run(context => new RequestCommands(context).submit(args.service, args), args))
    .command('submit-job <file>', 'submit a job from a JSON file; - for standard input', subparser => subparser
      .positional('file', { type: 'string', demandOption: true }), args =>
      run(context => new RequestCommands(context).submitJob(args.file), args))
    .command('status <job>', 'show the state of a job and its tasks', subparser => subparser.positional('job', JOB_ID_ARGUMENT), args =>
      run(context => new RequestCommands(context).status(args.job), args))
    .command('cancel <job>', 'cancel a job', subparser => subparser.positional('job', JOB_ID_ARGUMENT), args =>
      run(context => new RequestCommands(context).cancel(args.job), args))
}
