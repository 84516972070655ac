/**
 * Runs a controller: reads the settings file, starts the daemon, reloads the settings on SIGHUP, dumps the state on SIGUSR2, and
 * stops gracefully on SIGTERM or SIGINT.
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

/** How the code of the process was loaded; the first log line reports it. */
export interface ICodeOrigin {
  /** Whether V8 accepted the code cache that was written when the controller was packed; undefined if it isn't packed. */
  readonly isCodeKept?: boolean
}

export async function runController (origin: ICodeOrigin = {}): Promise<void> {
  const path = await resolveSettingsPath()
  const settings = loadSettings(path)
  const daemon = new ControllerDaemon(settings, origin.isCodeKept)
  process.once('SIGTERM', () => { stop(daemon) })
  process.once('SIGINT', () => { stop(daemon) })
  process.on('SIGHUP', () => { reload(daemon, path) })
  process.on('SIGUSR2', () => { daemon.dumpToLog() })
  const addresses = await daemon.start().catch((error: unknown) => exit(EXIT_START, String(error)))
  process.stdout.write(JSON.stringify({ ready: true, ...addresses, processId: settings.process.id }) + '\n')
}

/** Returns the path from the arguments or, if there are none, from the environment. */
async function resolveSettingsPath (): Promise<string> {
  const [, script = '', ...args] = process.argv
  const path = process.env[CONFIG_VARIABLE]
  return args.length === 0 && path !== undefined ? path : await readConfigPath(script, args)
}

function loadSettings (path: string): IControllerSettings {
  const loaded = loadControllerSettings(readSettingsText(path))
  return loaded.isOk() ? loaded.value : exit(EXIT_SETTINGS, `${path}: ${loaded.error.problems.map(describeProblem).join('; ')}`)
}

function readSettingsText (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    return exit(EXIT_SETTINGS, `the settings file can't be read: ${String(error)}`)
  }
}

/** Reloads the settings file. If it can't be read or is invalid, the current settings stay in effect. */
function reload (daemon: ControllerDaemon, path: string): void {
  let text = ''
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return daemon.logReloadFailure(String(error))
  }
  const loaded = loadControllerSettings(text)
  if (loaded.isErr()) daemon.logReloadFailure(loaded.error.problems.map(describeProblem).join('; '))
  else daemon.reload(loaded.value)
}

function stop (daemon: ControllerDaemon): void {
  daemon.stop().then(() => process.exit(0), (error: unknown) => exit(EXIT_STOP, String(error)))
}

function exit (code: number, message: string): never {
  process.stderr.write(`${message}\n`)
  process.exit(code)
}
