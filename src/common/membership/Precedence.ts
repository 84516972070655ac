/**
 * Decides which of two statements about a process takes precedence. Members need no other agreement: all members that
 * have received the same statements, in any order and any number of times, have the same view.
 */

import type { IMemberNews, MemberState } from '../protocol/Types.js'

/**
 * Rank of the states: at the same sequence the state with the higher rank takes precedence. `leaving` ranks above
 * `suspect`, because the member itself has announced it, and because it makes no difference whether a process that
 * receives no new work is suspect too.
 */
const STATE_RANK: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, leaving: 2, dead: 3 }

/** Positive if `a` takes precedence over `b`, negative if `b` takes precedence over `a`, 0 if they are equivalent. */
export function comparePrecedence (a: IMemberNews, b: IMemberNews): number {
  if (a.incarnation !== b.incarnation) return a.incarnation - b.incarnation
  if (a.sequence !== b.sequence) return a.sequence - b.sequence
  return STATE_RANK[a.state] - STATE_RANK[b.state]
}

/**
 * The answer of a member to a wrong statement about itself: its own state with a higher sequence, or undefined if the
 * statement does not take precedence over its own.
 *
 * A process that was paused or partitioned for a while is suspected or declared dead although it is alive. Only the
 * process itself knows this, so only the process itself raises its sequence. If other members corrected each other, a
 * correction and a true report of a death could circulate for ever.
 */
export function refute (own: IMemberNews, received: IMemberNews): IMemberNews | undefined {
  if (received.incarnation !== own.incarnation || comparePrecedence(received, own) <= 0) return undefined
  return { ...own, sequence: received.sequence + 1 }
}
