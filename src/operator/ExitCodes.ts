/**
 * The exit codes of the command line, the same for every command; docs/OPERATING.md lists them.
 */

export const EXIT = {
  done: 0,
  /** The command itself failed. */
  internal: 1,
  /** Wrong arguments, or input that breaks a documented bound. */
  usage: 2,
  /** The process can't be reached or didn't answer. */
  unreachable: 3,
  notFound: 4,
  /** Somebody else's edit came first. */
  conflict: 5,
  /** Refused or not run: nothing took effect. */
  refused: 6,
  /** It may have taken effect or not. */
  unknown: 7,
  /** The token is missing or wrong. */
  unauthorized: 8
} as const

export type ExitCode = typeof EXIT[keyof typeof EXIT]
