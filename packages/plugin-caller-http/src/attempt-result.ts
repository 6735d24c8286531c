import {
  ErrorKind,
  ExchangeEnd,
  RequestError,
  RequestExecution,
  type ExchangeResult,
} from '@gentiandoor/kernel';
import {OutcomeKind} from '@gentiandoor/decisions';
import type {ResponseForwarder} from './response-forwarder.js';
import type {CallerResponseWriter} from './caller-response-writer.js';

const FIRST_SERVER_ERROR = 500;

/** Result of one attempt to send a request to a target. */
export interface AttemptResult {
  /** Error to send to the caller; undefined after a complete response. */
  readonly failure: RequestError | undefined;
  /** Outcome to report about the target; undefined when no exchange was started. */
  readonly outcome: OutcomeKind | undefined;
  /** Whether a byte of the request was sent. */
  readonly sent: boolean;
}

const ERROR_KIND_BY_END: Readonly<Record<ExchangeEnd, ErrorKind>> = {
  [ExchangeEnd.Complete]: ErrorKind.Internal,
  [ExchangeEnd.NotSent]: ErrorKind.TargetUnreachable,
  [ExchangeEnd.ConnectionLost]: ErrorKind.TargetFailed,
  [ExchangeEnd.Malformed]: ErrorKind.AnswerMalformed,
  [ExchangeEnd.TimedOut]: ErrorKind.TargetTimeout,
  [ExchangeEnd.Truncated]: ErrorKind.AnswerTruncated,
  [ExchangeEnd.Aborted]: ErrorKind.CallerGone,
};

const OUTCOME_BY_END: Readonly<Record<ExchangeEnd, OutcomeKind>> = {
  [ExchangeEnd.Complete]: OutcomeKind.Succeeded,
  [ExchangeEnd.NotSent]: OutcomeKind.Unreachable,
  [ExchangeEnd.ConnectionLost]: OutcomeKind.ConnectionLost,
  [ExchangeEnd.Malformed]: OutcomeKind.Truncated,
  [ExchangeEnd.TimedOut]: OutcomeKind.TimedOut,
  [ExchangeEnd.Truncated]: OutcomeKind.Truncated,
  [ExchangeEnd.Aborted]: OutcomeKind.CallerGone,
};

/** Returns the result of a request that failed before an exchange was started. */
export function exchangeNotStarted(failure: RequestError): AttemptResult {
  return {failure, outcome: undefined, sent: false};
}

/** Returns the error for a caller that closed its connection; `run` says if the request ran. */
export function callerGoneError(run: RequestExecution): RequestError {
  const detail = 'the caller closed the connection';
  return new RequestError(ErrorKind.CallerGone, detail, {run});
}

/** Converts the end of an exchange to the caller's error and the target's outcome. */
export function toAttemptResult(
  result: ExchangeResult,
  forwarder: ResponseForwarder,
  responseWriter: CallerResponseWriter,
): AttemptResult {
  const {end, error} = result;
  const sent = end !== ExchangeEnd.NotSent;
  if (forwarder.refusal) {
    const failure = new RequestError(
      ErrorKind.TargetRefused,
      'the target is busy',
      {retryAfterSeconds: forwarder.refusal.retryAfterSeconds},
    );
    return {failure, outcome: OutcomeKind.Busy, sent};
  }
  if (end === ExchangeEnd.Complete) {
    const failure = responseWriter.isCallerGone
      ? callerGoneError(RequestExecution.Run)
      : undefined;
    return {failure, outcome: outcomeOfStatus(forwarder.status), sent};
  }
  const run = sent ? RequestExecution.Unknown : RequestExecution.NotRun;
  const detail = error?.message ?? end;
  if (error instanceof RequestError) {
    // The request's own body failed, which says nothing about the target.
    const failure = new RequestError(error.kind, detail, {run, cause: error});
    return {failure, outcome: OutcomeKind.CallerGone, sent};
  }
  const failure = new RequestError(ERROR_KIND_BY_END[end], detail, {
    run,
    cause: error,
  });
  return {failure, outcome: OUTCOME_BY_END[end], sent};
}

/**
 * Changes "not run" to "unknown" after an earlier attempt that may have run: "not run" must hold
 * for all attempts.
 */
export function withUnknownOutcome(error: RequestError): RequestError {
  if (error.run !== RequestExecution.NotRun) return error;
  return new RequestError(error.kind, error.message, {
    run: RequestExecution.Unknown,
    retryAfterSeconds: error.retryAfterSeconds,
    cause: error,
  });
}

function outcomeOfStatus(status: number): OutcomeKind {
  return status >= FIRST_SERVER_ERROR
    ? OutcomeKind.ServerError
    : OutcomeKind.Succeeded;
}
