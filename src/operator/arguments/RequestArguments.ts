/**
 * The arguments of the commands that act as a caller.
 */

import { RequestCommands } from '../commands/RequestCommands.js'

import type { Argv } from 'yargs'
import type { IGlobalArguments, Run } from './Types.js'

const JOB_ID = { type: 'string', demandOption: true, describe: 'the id that the job was submitted under' } as const

export function addRequestCommands (parser: Argv<IGlobalArguments>, run: Run): Argv<IGlobalArguments> {
  return parser
    .command('submit <service>', 'send a request and print its answer', all => all
      .positional('service', { type: 'string', demandOption: true })
      .option('caller', { type: 'string', default: 'operator', describe: 'on whose account' })
      .option('request-id', { type: 'string', describe: 'repeat it to learn the outcome of an earlier request' })
      .option('idempotent', { type: 'boolean', describe: 'may run more than once; the profile says so unless given' })
      .option('deadline-ms', { type: 'number', describe: 'how long the answer is of use' })
      .option('file', { type: 'string', describe: 'the body; - for standard input' })
      .option('content-type', { type: 'string', default: 'application/octet-stream' })
      .example('$0 submit chip-lookup --idempotent --file chip.json', ''), args =>
      run(context => new RequestCommands(context).submit(args.service, args), args))
    .command('submit-job <file>', 'submit a job from a JSON file; - for standard input', all => all
      .positional('file', { type: 'string', demandOption: true }), args =>
      run(context => new RequestCommands(context).submitJob(args.file), args))
    .command('status <job>', 'the state of a job and its tasks', all => all.positional('job', JOB_ID), args =>
      run(context => new RequestCommands(context).status(args.job), args))
    .command('cancel <job>', 'cancel a job', all => all.positional('job', JOB_ID), args =>
      run(context => new RequestCommands(context).cancel(args.job), args))
}
