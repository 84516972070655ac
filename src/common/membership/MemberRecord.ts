/**
 * A member's record in the store: one key per process, written at its start and attached to its lease.
 */

import type { IMember } from '../protocol/Types.js'
import { memberShape } from '../protocol/Shapes.js'

export const MEMBER_PREFIX = 'members/'

export function memberKey (processId: string): string {
  return `${MEMBER_PREFIX}${processId}`
}

/** The process id of a key below `MEMBER_PREFIX`. */
export function processIdOf (key: string): string {
  return key.slice(MEMBER_PREFIX.length)
}

export function encodeMember (member: IMember): string {
  return JSON.stringify(member)
}

/** Nothing for a text that is no member: another release may have written it, and one record must not stop the rest. */
export function decodeMember (text: string): IMember | undefined {
  try {
    const parsed = memberShape.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}
