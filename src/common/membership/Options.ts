/**
 * The options of membership, with the reason for each.
 */

export interface IMembershipOptions {
  /** Time between rounds of gossip. */
  readonly gossipMs: number
  /** Number of peers in the same region that one round is sent to. */
  readonly fanout: number
  /** Probability that a round is also sent to one peer in another region. This traffic is slow and paid by volume. */
  readonly crossRegionChance: number
  /** Delay before a lost link is reported to others, so that a link that returns at once causes no messages. */
  readonly suspectHoldMs: number
  /** Upper limit of the delay, which doubles with each loss of a link that is lost repeatedly. */
  readonly maxSuspectHoldMs: number
  /** Time after which a link counts as steady again. */
  readonly steadyLinkMs: number
  /**
   * Time from suspect to dead with up to ten members. It grows with the logarithm of the member count, as the suspicion
   * must reach the member and the refutation must reach all others.
   */
  readonly suspectMs: number
  /** Time for which a dead member's record is kept, so that the member is found again when a partition heals. */
  readonly forgetMs: number
  /** Maximum number of forgotten members whose last statement is kept, so that old gossip can't make them alive again. */
  readonly maxTombstones: number
  /** Maximum number of members. Records of further processes are ignored. */
  readonly maxMembers: number
  /** Time for which the store must have been reachable before a missing record makes a member suspect. */
  readonly storeTrustMs: number
  /** Average limit on the bytes of membership that a process sends per second; `burstBytes` is the limit at one time. */
  readonly bytesPerSecond: number
  readonly burstBytes: number
  /** The largest cast, in bytes. */
  readonly maxCastBytes: number
  /** How many more times an item of news is sent for each doubling of the member count. */
  readonly repeatsPerDoubling: number
  /** Minimum time between two comparisons of views that this process starts. */
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
