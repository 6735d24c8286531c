/** Exit codes of the command line; documented in docs/operations. */
export enum ExitCode {
  Done = 0,
  /** The call failed; its message says what to do next. */
  Failed = 1,
  /** Wrong arguments, settings or input files. */
  BadInput = 2,
  /** The record was appended and the fold refused it. */
  Refused = 3,
  /** The platform or the daemon could not be reached. */
  Unreachable = 4,
}
