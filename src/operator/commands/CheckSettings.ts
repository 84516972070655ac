/**
 * The command `check-settings`: checks a settings file as a process does at its start.
 */

import { err, ok } from 'neverthrow'
import { describeProblem } from '../../runtime/settings/SettingsError.js'
import { SettingsLoader } from '../../runtime/settings/SettingsLoader.js'
import { CommandError } from '../CommandError.js'
import { EXIT } from '../ExitCodes.js'

import type { ICommandContext, CommandResult } from '../Types.js'

export async function checkSettings ({ console, json }: ICommandContext, file: string): CommandResult {
  const text = Buffer.from(await console.readInput(file)).toString('utf8')
  const settings = new SettingsLoader().load(text)
  if (settings.isErr()) {
    const { problems } = settings.error
    if (json) console.print(JSON.stringify({ problems }))
    const advice = `${file} has ${problems.length} ${problems.length === 1 ? 'mistake' : 'mistakes'}; correct each`
    return err(new CommandError('settings.check', file, EXIT.usage, advice, json ? [] : problems.map(describeProblem)))
  }
  const { id, role, region } = settings.value.process
  console.print(json ? JSON.stringify({ problems: [] }) : `${file} is valid: ${role} ${id} in ${region}`)
  return ok(undefined)
}
