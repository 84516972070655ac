/**
 * The life of a controller: settings from a file, start, reload on SIGHUP, a graceful stop on SIGTERM.
 */

import { readFileSync } from 'node:fs'
import { describeProblem } from '../runtime/settings/SettingsError.js'
import { loadControllerSettings } from '../runtime/settings/ControllerSettings.js'
import { ControllerDaemon } from './ControllerDaemon.js'
import { readConfigPath } from './DaemonArguments.js'

import type { IControllerSettings } from '../runtime/settings/ControllerSettings.js'

/** Exit codes, as docs/OPERATIONS.md lists them. */
const EXIT_SETTINGS = 2
const EXIT_START = 3
const EXIT_STOP = 4
const CONFIG_VARIABLE = 'JACKDAWREEL_CONFIG'

/** How the process's code was loaded, for its first log line. */
export interface ICodeOrigin {
  /** V8 took code that was kept when the controller was packed; absent where it isn't packed. */
  readonly isCodeKept?: boolean
}

export async function runController (origin: ICodeOrigin = {}): Promise<void> {
  const path = await settingsPath()
  const settings = load(path)
  const daemon = new ControllerDaemon(settings, origin.isCodeKept)
  process.once('SIGTERM', () => { stop(daemon) })
  process.once('SIGINT', () => { stop(daemon) })
  process.on('SIGHUP', () => { reload(daemon, path) })
  process.on('SIGUSR2', () => { daemon.dumpToLog() })
  const addresses = await daemon.start().catch((error: unknown) => exit(EXIT_START, String(error)))
  process.stdout.write(JSON.stringify({ ready: true, ...addresses, processId: settings.process.id }) + '\n')
}

/** From the arguments, or, where there are none, from the environment. */
async function settingsPath (): Promise<string> {
  const [, script = '', ...args] = process.argv
  const path = process.env[CONFIG_VARIABLE]
  return args.length === 0 && path !== undefined ? path : await readConfigPath(script, args)
}

function load (path: string): IControllerSettings {
  const read = loadControllerSettings(readText(path))
  return read.isOk() ? read.value : exit(EXIT_SETTINGS, `${path}: ${read.error.problems.map(describeProblem).join('; ')}`)
}

function readText (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    return exit(EXIT_SETTINGS, `the settings file can't be read: ${String(error)}`)
  }
}

/** A file that can't be used leaves the running settings as they are. */
function reload (daemon: ControllerDaemon, path: string): void {
  let text = ''
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return daemon.noteReload(String(error))
  }
  const read = loadControllerSettings(text)
  if (read.isErr()) daemon.noteReload(read.error.problems.map(describeProblem).join('; '))
  else daemon.reload(read.value)
}

function stop (daemon: ControllerDaemon): void {
  daemon.stop().then(() => process.exit(0), (error: unknown) => exit(EXIT_STOP, String(error)))
}

function exit (code: number, message: string): never {
  process.stderr.write(`${message}\n`)
  process.exit(code)
}
