/**
 * Counts of what the links dropped or refused; part of the state dump.
 */

export class PeerCounters {
  /** Connections that failed to prove that they belong. */
  public failedHandshakes = 0
  /** Connections closed on sight because too many were unproven. */
  public crowdedOut = 0
  /** Packets that could not be read; each closed its link. */
  public malformedPackets = 0
  /** Replies whose call had timed out or never was. */
  public lateReplies = 0
  /** Casts dropped because the link was down, backed up, or the message too large. */
  public droppedCasts = 0
  /** Calls refused before sending, for the same reasons or too many in flight. */
  public refusedCalls = 0
  /** Handlers and listeners that threw. */
  public brokenHandlers = 0
  /** Messages whose body did not have the shape that its name asks for. */
  public misshapenMessages = 0
  /** Links lost to silence. */
  public silentLinks = 0
}
