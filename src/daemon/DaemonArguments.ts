/**
 * Parses the arguments of a daemon. yargs adds about 13 MB to a process, so it is loaded only if the arguments are other than
 * `--config FILE`.
 */

import { basename } from 'node:path'
import { packageVersion } from '../runtime/Version.js'

const CONFIG_FLAG = '--config'
const EXIT_USAGE = 2

/** Returns the path of the settings file. Prints the help, the version or a usage error instead, and exits, if the arguments say so. */
export async function readConfigPath (script: string, args: readonly string[]): Promise<string> {
  const [flag, path] = args
  if (args.length === 2 && flag === CONFIG_FLAG && path !== undefined) return path
  const { default: yargs } = await import('yargs')
  const parser = yargs([...args])
    .scriptName(basename(script, '.js'))
    .usage('$0 --config FILE\n\nRuns until SIGTERM, then stops gracefully.')
    .option('config', { type: 'string', demandOption: true, requiresArg: true, describe: 'the settings file' })
    .example('$0 --config /etc/jackdawreel/process.ini', '')
    .epilogue('Exit codes: 0 planned stop, 2 wrong arguments or settings, 3 could not start, 4 could not stop cleanly.')
    .version(packageVersion())
    .strict()
    .fail(message => {
      process.stderr.write(`${message}; name the settings file with --config FILE\n`)
      process.exit(EXIT_USAGE)
    })
  return (await parser.parseAsync()).config
}
