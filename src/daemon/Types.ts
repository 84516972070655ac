/**
 * What every process of the system offers to its binary.
 */

export interface IDaemonAddresses {
  /** The callers' side of a gateway, the peers' side of a scheduler. */
  readonly url: string
  readonly operatorUrl: string
}

export interface IDaemon {
  /** Gives the addresses that it serves, once it does. */
  start (): Promise<IDaemonAddresses>
  /** Planned stop: takes no request down with it. */
  stop (): Promise<void>
}
