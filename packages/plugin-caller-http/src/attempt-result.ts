import {
  ErrorKind,
  ExchangeEnd,
  RequestError,
  RunOutcome,
  type ExchangeResult,
} from '@gentiandoor/kernel';
import {OutcomeKind} from '@gentiandoor/decisions';
import type {AnswerForwarder} from './answer-forwarder.js';
import type {CallerSide} from './caller-side.js';

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

const KIND_OF_END: Readonly<Record<ExchangeEnd, ErrorKind>> = {
  [ExchangeEnd.Whole]: ErrorKind.Internal,
  [ExchangeEnd.NotSent]: ErrorKind.TargetUnreachable,
  [ExchangeEnd.Broken]: ErrorKind.TargetFailed,
  [ExchangeEnd.Malformed]: ErrorKind.AnswerMalformed,
  [ExchangeEnd.TimedOut]: ErrorKind.TargetTimeout,
  [ExchangeEnd.Truncated]: ErrorKind.AnswerTruncated,
  [ExchangeEnd.Aborted]: ErrorKind.CallerGone,
};

const OUTCOME_OF_END: Readonly<Record<ExchangeEnd, OutcomeKind>> = {
  [ExchangeEnd.Whole]: OutcomeKind.Succeeded,
  [ExchangeEnd.NotSent]: OutcomeKind.Unreachable,
  [ExchangeEnd.Broken]: OutcomeKind.Broken,
  [ExchangeEnd.Malformed]: OutcomeKind.Truncated,
  [ExchangeEnd.TimedOut]: OutcomeKind.TimedOut,
  [ExchangeEnd.Truncated]: OutcomeKind.Truncated,
  [ExchangeEnd.Aborted]: OutcomeKind.CallerGone,
};

/** A request that ended before any exchange was begun. */
export function notBegun(failure: RequestError): AttemptResult {
  return {failure, outcome: undefined, sent: false};
}

/** The caller closed its connection; `run` says how far the request had come. */
export function callerGone(run: RunOutcome): RequestError {
  const detail = 'the caller closed the connection';
  return new RequestError(ErrorKind.CallerGone, detail, {run});
}

/** Reads what an exchange came to. */
export function resultOf(
  result: ExchangeResult,
  forwarder: AnswerForwarder,
  caller: CallerSide,
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
  if (end === ExchangeEnd.Whole) {
    const failure = caller.isGone ? callerGone(RunOutcome.Run) : undefined;
    return {failure, outcome: outcomeOfStatus(forwarder.status), sent};
  }
  const run = sent ? RunOutcome.Unknown : RunOutcome.NotRun;
  const detail = error?.message ?? end;
  if (error instanceof RequestError) {
    // The request's own body failed, which says nothing about the target.
    const failure = new RequestError(error.kind, detail, {run, cause: error});
    return {failure, outcome: OutcomeKind.CallerGone, sent};
  }
  const failure = new RequestError(KIND_OF_END[end], detail, {
    run,
    cause: error,
  });
  return {failure, outcome: OUTCOME_OF_END[end], sent};
}

/** "Not run" must hold over all attempts: an earlier one may have been run. */
export function withUnknownOutcome(error: RequestError): RequestError {
  if (error.run !== RunOutcome.NotRun) return error;
  return new RequestError(error.kind, error.message, {
    run: RunOutcome.Unknown,
    retryAfterSeconds: error.retryAfterSeconds,
    cause: error,
  });
}

function outcomeOfStatus(status: number): OutcomeKind {
  return status >= FIRST_SERVER_ERROR
    ? OutcomeKind.ServerError
    : OutcomeKind.Succeeded;
}
