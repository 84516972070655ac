/**
 * The interface between a daemon and the binary that runs it.
 */

export interface IDaemonAddresses {
  /** The URL for callers of a gateway, or for peers of a scheduler. */
  readonly url: string
  readonly operatorUrl: string
}

export interface IDaemon {
  /** Starts serving and returns the addresses. */
  start (): Promise<IDaemonAddresses>
  /** Stops gracefully, without failing any request in flight. */
  stop (): Promise<void>
}
