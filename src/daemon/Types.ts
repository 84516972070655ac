/**
 * What every process of the system offers to its binary.
 */

export interface IDaemon {
  /** Gives the address that it serves, once it does. */
  start (): Promise<string>
  /** Planned stop: takes no request down with it. */
  stop (): Promise<void>
}
