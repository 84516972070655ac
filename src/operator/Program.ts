/**
 * The operators' command line: reads the arguments, runs one command, and gives its exit code.
 */

import { err, ok } from 'neverthrow'
import yargs from 'yargs'
import { packageVersion } from '../runtime/Version.js'
import { CommandError } from './CommandError.js'
import { addConfigCommands } from './arguments/ConfigArguments.js'
import { addRequestCommands } from './arguments/RequestArguments.js'
import { addStateCommands } from './arguments/StateArguments.js'
import { EXIT } from './ExitCodes.js'

import type { Result } from 'neverthrow'
import type { Argv } from 'yargs'
import type { IGlobalArguments, Run } from './arguments/Types.js'
import type { ExitCode } from './ExitCodes.js'
import type { ICommandContext, IConsole } from './Types.js'

export type Environment = Readonly<Record<string, string | undefined>>

const DEFAULT_OPERATOR_URL = 'http://127.0.0.1:7100'
const DEFAULT_GATEWAY_URL = 'http://127.0.0.1:8080'
const HELP_COLUMNS = 110

const EPILOGUE = `From the environment: JACKDAWREEL_OPERATOR (URL), JACKDAWREEL_TOKEN, JACKDAWREEL_GATEWAY (URL).
Exit codes: 0 done, 1 the command failed, 2 wrong arguments or input, 3 not reached, 4 not found,
5 somebody else's edit came first, 6 refused or not run, 7 may have taken effect or not, 8 wrong token.`

export class Program {
  public constructor (private readonly _console: IConsole, private readonly _environment: Environment) {}

  /** Never rejects. Failures go to standard error: one line that says what to do, then details. */
  public async run (args: readonly string[]): Promise<ExitCode> {
    let result: Result<void, CommandError> = ok(undefined)
    const run: Run = async (action, options) => { result = await action(this._context(options)) }
    try {
      await this._parser(run).parseAsync([...args], {}, (error, _parsed, output) => {
        if (error != null) result = err(usageError(error))
        else if (output !== '') this._console.print(output)
      })
    } catch (error) {
      result = err(failure(error))
    }
    return result.match(() => EXIT.done, error => this._report(error))
  }

  private _parser (run: Run): Argv<IGlobalArguments> {
    const parser = yargs()
      .scriptName('jackdawreel')
      .usage('$0 <command>\n\nLooks at and steers a jackdawreel cell.')
      .option('operator', { type: 'string', describe: 'operator listener of a process', default: this._environment['JACKDAWREEL_OPERATOR'] ?? DEFAULT_OPERATOR_URL })
      .option('gateway', { type: 'string', describe: 'callers\' listener of a gateway', default: this._environment['JACKDAWREEL_GATEWAY'] ?? DEFAULT_GATEWAY_URL })
      .option('json', { type: 'boolean', describe: 'print JSON for programs', default: false })
      .version(packageVersion())
      .help()
      .strict()
      .demandCommand(1, 'no command is named')
      .exitProcess(false)
      .wrap(HELP_COLUMNS)
      .epilogue(EPILOGUE)
    return addRequestCommands(addStateCommands(addConfigCommands(parser, run), run), run)
  }

  private _context ({ operator, gateway, json }: IGlobalArguments): ICommandContext {
    return {
      console: this._console,
      operatorUrl: operator,
      gatewayUrl: gateway,
      // Not an argument: those can be read by every user of the machine.
      token: this._environment['JACKDAWREEL_TOKEN'] ?? '',
      operator: this._environment['USER'] ?? 'unnamed',
      json
    }
  }

  private _report (error: CommandError): ExitCode {
    this._console.warn(`jackdawreel: ${error.advice}`)
    for (const line of error.details) this._console.warn(line)
    return error.exitCode
  }
}

function usageError (error: Error): CommandError {
  if (error instanceof CommandError) return error
  return new CommandError('arguments', 'command line', EXIT.usage, `${error.message.replaceAll('\n', ' ')}; --help shows examples`)
}

function failure (error: unknown): CommandError {
  const { code, path = '', message = String(error) } = error as { readonly code?: string, readonly path?: string, readonly message?: string }
  const isFile = code === 'ENOENT' || code === 'EACCES' || code === 'EISDIR'
  if (isFile) return new CommandError('input.read', path, EXIT.usage, `${path} can't be read (${code}); check the path`)
  return new CommandError('command', 'command line', EXIT.internal, message)
}
