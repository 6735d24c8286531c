/** How an exchange with a target ended, as far as decisions about the target need it. */
export enum OutcomeKind {
  /** A complete response that is not a server error. */
  Succeeded = 'succeeded',
  /** A complete response with a server error of the target itself. */
  ServerError = 'server_error',
  /** The target responded that it is at its limit and ran nothing. */
  Busy = 'busy',
  /** No connection could be opened, or it was lost before any byte was sent. */
  Unreachable = 'unreachable',
  /** The connection was lost after bytes were sent. */
  ConnectionLost = 'broken',
  /** No response head arrived before the timeout. */
  TimedOut = 'timed_out',
  /** The response started but was cut off or malformed. */
  Truncated = 'truncated',
  /** The caller gave up; this says nothing about the target. */
  CallerGone = 'caller_gone',
}

/** What an exchange showed about its target. */
export interface TargetOutcome {
  readonly kind: OutcomeKind;
  /** Milliseconds from dispatch to the response head, or to the failure. */
  readonly latencyMilliseconds: number;
  /** Whether the target itself reported that it is leaving. */
  readonly leaving: boolean;
}

const FAILURES: ReadonlySet<OutcomeKind> = new Set([
  OutcomeKind.ServerError,
  OutcomeKind.Unreachable,
  OutcomeKind.ConnectionLost,
  OutcomeKind.TimedOut,
  OutcomeKind.Truncated,
]);

/**
 * Whether an outcome counts as a failure of its target; `busy` and a caller that gave up do not.
 */
export function isFailure(kind: OutcomeKind): boolean {
  return FAILURES.has(kind);
}
