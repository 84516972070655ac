/**
 * Runs a gateway or a scheduler: reads the settings file, starts the daemon, prints a line with its addresses, and stops gracefully
 * on SIGTERM or SIGINT.
 */

import { readFileSync } from 'node:fs'
import { describeProblem } from '../runtime/settings/SettingsError.js'
import { SettingsLoader } from '../runtime/settings/SettingsLoader.js'
import { readConfigPath } from './DaemonArguments.js'

import type { ISettings, ProcessRole } from '../runtime/settings/Types.js'
import type { IDaemon } from './Types.js'

/** Exit codes, as docs/OPERATING.md lists them. */
const EXIT_SETTINGS = 2
const EXIT_START = 3
const EXIT_STOP = 4

export async function runDaemon (role: ProcessRole, create: (settings: ISettings) => Promise<IDaemon>): Promise<void> {
  const [, script = '', ...args] = process.argv
  const settings = loadSettings(await readConfigPath(script, args), role)
  const daemon = await runOrExit(EXIT_START, async () => await create(settings))
  const addresses = await runOrExit(EXIT_START, async () => await daemon.start())
  process.once('SIGTERM', () => { stop(daemon) })
  process.once('SIGINT', () => { stop(daemon) })
  process.stdout.write(JSON.stringify({ ready: true, ...addresses, processId: settings.process.id }) + '\n')
}

function loadSettings (path: string, role: ProcessRole): ISettings {
  let text = ''
  try {
    text = readFileSync(path, 'utf8')
  } catch {
    exit(EXIT_SETTINGS, `the settings file ${path} can't be read; check the path`)
  }
  const settings = new SettingsLoader().load(text)
  if (settings.isErr()) exit(EXIT_SETTINGS, `${path}: ${settings.error.problems.map(describeProblem).join('; ')}`)
  const { role: configuredRole } = settings.value.process
  if (configuredRole !== role) exit(EXIT_SETTINGS, `${path} is for a ${configuredRole}; start jackdawreel-${configuredRole} with it`)
  return settings.value
}

async function stop (daemon: IDaemon): Promise<void> {
  await runOrExit(EXIT_STOP, async () => { await daemon.stop() })
  process.exit(0)
}

async function runOrExit<T> (code: number, action: () => Promise<T>): Promise<T> {
  try {
    return await action()
  } catch (error) {
    return exit(code, error instanceof Error ? error.message : String(error))
  }
}

function exit (code: number, message: string): never {
  process.stderr.write(`${message}\n`)
  process.exit(code)
}
