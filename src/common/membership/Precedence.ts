/**
 * Which of two statements about a process holds. This is the whole agreement between members: whoever has heard the
 * same statements, in any order and any number of times, has the same view.
 */

import type { IMemberNews, MemberState } from '../protocol/Types.js'

/**
 * Graver states win at the same sequence. Leaving is above suspect, because the member itself said so and it makes
 * no difference to others whether a process that gets no new work is suspected too.
 */
const GRAVITY: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3 }

/** Positive when `a` holds over `b`, negative when `b` does, 0 when they say the same. */
export function comparePrecedence (a: IMemberNews, b: IMemberNews): number {
  if (a.incarnation !== b.incarnation) return a.incarnation - b.incarnation
  if (a.sequence !== b.sequence) return a.sequence - b.sequence
  return GRAVITY[a.state] - GRAVITY[b.state]
}

/**
 * What a member answers when others say of it what is not so: the same state under a higher sequence, or nothing
 * when the statement doesn't hold over its own.
 *
 * A process that was paused, or cut off for a while, is suspected or declared dead while it lives. Only it can know,
 * so only it raises the sequence; were others to correct each other, the correction and a true report of its death
 * could go round for ever.
 */
export function refute (own: IMemberNews, heard: IMemberNews): IMemberNews | undefined {
  if (heard.incarnation !== own.incarnation || comparePrecedence(heard, own) <= 0) return undefined
  return { ...own, sequence: heard.sequence + 1 }
}
