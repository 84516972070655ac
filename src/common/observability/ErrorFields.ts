/**
 * The log fields of an error: its kind, step and peer, so that one line is enough to locate a failure.
 */

import { StepError } from '../Errors.js'

import type { ILogFields } from './Types.js'

export function errorFields (error: unknown): ILogFields {
  if (error instanceof StepError) return { step: error.step, peer: error.peer, errorName: error.name, errorMessage: error.message }
  if (error instanceof Error) return { errorName: error.name, errorMessage: error.message }
  return { errorName: 'thrown', errorMessage: String(error) }
}
