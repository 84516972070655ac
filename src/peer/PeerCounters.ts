/**
 * Counts of what the links dropped or refused. The counts are part of the state dump.
 */

export class PeerCounters {
  /** Connections that failed before or during the handshake. */
  public failedHandshakes = 0
  /** Connections closed at once because too many others were unauthenticated. */
  public crowdedOut = 0
  /** Packets that could not be decoded; each one closed its link. */
  public malformedPackets = 0
  /** Replies to calls that had timed out or are unknown. */
  public lateReplies = 0
  /** Casts dropped because the link was down or backed up, or because the message was too large. */
  public droppedCasts = 0
  /** Calls refused before they were sent, for the same reasons or because too many calls were in flight. */
  public refusedCalls = 0
  /** Errors thrown by handlers and listeners, without those that refuse a call. */
  public brokenHandlers = 0
  /** Messages whose body did not match the shape that belongs to their name. */
  public misshapenMessages = 0
  /** Links closed because nothing was received from the peer for `silenceLimitMs`. */
  public silentLinks = 0
}
