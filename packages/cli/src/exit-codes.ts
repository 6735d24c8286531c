/** Exit codes of the command line; documented in docs/operations. */
export enum ExitCode {
  Done = 0,
  /** The command failed; its message says how to proceed. */
  Failed = 1,
  /** Invalid arguments, settings or input files. */
  BadInput = 2,
  /** The record was appended and the fold rejected it. */
  Refused = 3,
  /** The platform or the daemon could not be reached. */
  Unreachable = 4,
}
