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

/** What one attempt at a target came to. */
export interface AttemptResult {
  /** What to tell the caller; undefined after a whole answer. */
  readonly failure: RequestError | undefined;
  /** What it says of the target; undefined when no exchange was begun. */
  readonly outcome: OutcomeKind | undefined;
  /** Whether a byte of the request went out. */
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

/** A request that ended before any exchange was begun. */
export function exchangeNotStarted(failure: RequestError): AttemptResult {
  return {failure, outcome: undefined, sent: false};
}

/** The caller closed its connection; `run` says how far the request had come. */
export function callerGoneError(run: RequestExecution): RequestError {
  const detail = 'the caller closed the connection';
  return new RequestError(ErrorKind.CallerGone, detail, {run});
}

/** Reads what an exchange came to. */
export function toAttemptResult(
  result: ExchangeResult,
  forwarder: ResponseForwarder,
  caller: CallerResponseWriter,
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
    const failure = caller.isCallerGone
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

/** "Not run" must hold over all attempts: an earlier one may have been run. */
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
