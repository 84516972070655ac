/**
 * The operators' command line: parses the arguments, runs one command, and returns its exit code.
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
Exit codes: 0 done, 1 the command failed, 2 wrong arguments or input, 3 process unreachable, 4 not found,
5 another edit came first, 6 refused or not run, 7 may have taken effect or not, 8 missing or wrong token.`

export class Program {
  public constructor (private readonly _console: IConsole, private readonly _environment: Environment) {}

  /** Never rejects. Writes a failure to standard error: one line that says what to do, then the details. */
  public async run (args: readonly string[]): Promise<ExitCode> {
    let result: Result<void, CommandError> = ok(undefined)
    const run: Run = async (action, options) => { result = await action(this._createContext(options)) }
    try {
      await this._createParser(run).parseAsync([...args], {}, (error, _parsed, output) => {
        if (error != null) result = err(toUsageError(error))
        else if (output !== '') this._console.print(output)
      })
    } catch (error) {
      result = err(toCommandError(error))
    }
    return result.match(() => EXIT.done, error => this._reportError(error))
  }

  private _createParser (run: Run): Argv<IGlobalArguments> {
    const parser = yargs()
      .scriptName('jackdawreel')
      .usage('$0 <command>\n\nInspects and controls a jackdawreel cell.')
      .option('operator', { type: 'string', describe: 'URL of a process\'s operator listener', default: this._environment['JACKDAWREEL_OPERATOR'] ?? DEFAULT_OPERATOR_URL })
      .option('gateway', { type: 'string', describe: 'URL of a gateway\'s listener for callers', default: this._environment['JACKDAWREEL_GATEWAY'] ?? DEFAULT_GATEWAY_URL })
      .option('json', { type: 'boolean', describe: 'print JSON instead of text', default: false })
      .version(packageVersion())
      .help()
      .strict()
      .demandCommand(1, 'a command is required')
      .exitProcess(false)
      .wrap(HELP_COLUMNS)
      .epilogue(EPILOGUE)
    return addRequestCommands(addStateCommands(addConfigCommands(parser, run), run), run)
  }

  private _createContext ({ operator, gateway, json }: IGlobalArguments): ICommandContext {
    return {
      console: this._console,
      operatorUrl: operator,
      gatewayUrl: gateway,
      // The token is no argument, because every user of the machine can read a process's arguments.
      token: this._environment['JACKDAWREEL_TOKEN'] ?? '',
      operator: this._environment['USER'] ?? 'unnamed',
      json
    }
  }

  private _reportError (error: CommandError): ExitCode {
    this._console.warn(`jackdawreel: ${error.advice}`)
    for (const line of error.details) this._console.warn(line)
    return error.exitCode
  }
}

function toUsageError (error: Error): CommandError {
  if (error instanceof CommandError) return error
  return new CommandError('arguments', 'command line', EXIT.usage, `${error.message.replaceAll('\n', ' ')}; --help shows examples`)
}

function toCommandError (error: unknown): CommandError {
  const { code, path = '', message = String(error) } = error as { readonly code?: string, readonly path?: string, readonly message?: string }
  const isFileError = code === 'ENOENT' || code === 'EACCES' || code === 'EISDIR'
  if (isFileError) return new CommandError('input.read', path, EXIT.usage, `${path} can't be read (${code}); check the path`)
  return new CommandError('command', 'command line', EXIT.internal, message)
}
