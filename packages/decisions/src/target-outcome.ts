/** How one exchange with a target ended, as far as decisions about the target need it. */
export enum OutcomeKind {
  /** A whole answer that is no server error. */
  Succeeded = 'succeeded',
  /** A whole answer with a server error of the target's own. */
  ServerError = 'server_error',
  /** The target said that it is at its limit and ran nothing. */
  Busy = 'busy',
  /** No connection could be opened, or it broke before any byte went out. */
  Unreachable = 'unreachable',
  /** The connection broke after bytes went out. */
  ConnectionLost = 'broken',
  /** No head of an answer in time. */
  TimedOut = 'timed_out',
  /** The answer began and broke off, or was malformed. */
  Truncated = 'truncated',
  /** The caller's side gave up; says nothing about the target. */
  CallerGone = 'caller_gone',
}

/** What an exchange showed of its target. */
export interface TargetOutcome {
  readonly kind: OutcomeKind;
  /** Milliseconds from dispatch to the head of the answer, or to the failure. */
  readonly latencyMilliseconds: number;
  /** Whether the target itself said that it is leaving. */
  readonly leaving: boolean;
}

const FAILURES: ReadonlySet<OutcomeKind> = new Set([
  OutcomeKind.ServerError,
  OutcomeKind.Unreachable,
  OutcomeKind.ConnectionLost,
  OutcomeKind.TimedOut,
  OutcomeKind.Truncated,
]);

/** Whether an outcome counts against its target; `busy` and a caller that left do not. */
export function isFailure(kind: OutcomeKind): boolean {
  return FAILURES.has(kind);
}
