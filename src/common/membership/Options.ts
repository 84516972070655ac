/**
 * The settings of membership in one place, with the reason for each.
 */

export interface IMembershipOptions {
  /** Time between rounds of gossip. */
  readonly gossipMs: number
  /** Peers of the own region that one round goes to. */
  readonly fanout: number
  /** The chance that a round goes to one peer of another region too: that traffic is slow and paid for by volume. */
  readonly crossRegionChance: number
  /** How long a lost link is held back before others are told: a link that returns at once costs nobody a message. */
  readonly suspectHoldMs: number
  /** The longest such hold, for a link that is lost again and again. */
  readonly maxSuspectHoldMs: number
  /** A link that lasted this long counts as steady again. */
  readonly steadyLinkMs: number
  /**
   * From suspected to dead with up to ten members; grows with the logarithm of their number, as the suspicion has to
   * reach the member and its refutation everybody else.
   */
  readonly suspectMs: number
  /** How long a dead member's record is kept, so that a healed partition can be found again. */
  readonly forgetMs: number
  /** Forgotten members whose last word is kept, so that old gossip can't bring them back. */
  readonly maxTombstones: number
  /** More members than this are not taken in. */
  readonly maxMembers: number
  /** How long the store must have been reachable before an absent record counts against a member. */
  readonly storeTrustMs: number
  /** Bytes of membership sent per second on average, and at most at once. */
  readonly bytesPerSecond: number
  readonly burstBytes: number
  /** The largest cast, in bytes. */
  readonly maxCastBytes: number
  /** Sends per item of news for each doubling of the member count. */
  readonly repeatsPerDoubling: number
  /** Least time between two comparisons of views that this process starts. */
  readonly syncMs: number
}

export const MEMBERSHIP_DEFAULTS: IMembershipOptions = {
  gossipMs: 500,
  fanout: 3,
  crossRegionChance: 0.25,
  suspectHoldMs: 1_000,
  maxSuspectHoldMs: 16_000,
  steadyLinkMs: 60_000,
  suspectMs: 4_000,
  forgetMs: 3_600_000,
  maxTombstones: 4_096,
  maxMembers: 10_000,
  storeTrustMs: 30_000,
  bytesPerSecond: 4_000,
  burstBytes: 16_000,
  maxCastBytes: 4_000,
  repeatsPerDoubling: 1.5,
  syncMs: 1_000
}
