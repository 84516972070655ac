/**
 * The exit codes of the command line. They are the same for every command; docs/OPERATING.md lists them.
 */

export const EXIT = {
  done: 0,
  /** The command itself failed. */
  internal: 1,
  /** The arguments are wrong, or the input violates a documented limit. */
  usage: 2,
  /** The process can't be reached or didn't answer. */
  unreachable: 3,
  notFound: 4,
  /** Another edit came first. */
  conflict: 5,
  /** The command was refused or not run, so nothing took effect. */
  refused: 6,
  /** It is unknown whether the command took effect. */
  unknown: 7,
  /** The token is missing or wrong. */
  unauthorized: 8
} as const

export type ExitCode = typeof EXIT[keyof typeof EXIT]
