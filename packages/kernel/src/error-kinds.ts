/** Whether a target ran the request. */
export enum RequestExecution {
  /** No byte of the request was sent to a target, or the target reported that it was not run. */
  NotRun = 'no',
  /** Bytes were sent and no complete response was received. */
  Unknown = 'unknown',
  /** A target ran it. */
  Run = 'yes',
}

/** All error kinds; callers see no others. */
export enum ErrorKind {
  BadRequest = 'bad_request',
  HeadTooLarge = 'head_too_large',
  BodyTooLarge = 'body_too_large',
  BodyTimeout = 'body_timeout',
  CallerGone = 'caller_gone',
  UpgradeRefused = 'upgrade_refused',
  ExpectationRefused = 'expectation_refused',
  UnknownService = 'unknown_service',
  UnknownCaller = 'unknown_caller',
  KeyRequired = 'key_required',
  KeyInvalid = 'key_invalid',
  KeyReused = 'key_reused',
  KeyInProgress = 'key_in_progress',
  KeyAlreadyRun = 'key_already_run',
  KeyOutcomeUnknown = 'key_outcome_unknown',
  KeyForgotten = 'key_forgotten',
  ClaimUnavailable = 'claim_unavailable',
  NoBundle = 'no_bundle',
  NoTarget = 'no_target',
  QueueFull = 'queue_full',
  QueueTimeout = 'queue_timeout',
  QueueDropped = 'queue_dropped',
  QuotaExceeded = 'quota_exceeded',
  Draining = 'draining',
  TargetRefused = 'target_refused',
  TargetUnreachable = 'target_unreachable',
  TargetFailed = 'target_failed',
  TargetTimeout = 'target_timeout',
  AnswerTruncated = 'answer_truncated',
  AnswerMalformed = 'answer_malformed',
  Internal = 'internal',
}

/** Response to a caller for an error kind. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Whether the request was run. */
  readonly run: RequestExecution;
  /** Seconds for `Retry-After`; undefined if a retry does not help. */
  readonly retryAfterSeconds?: number;
  /** One sentence for the caller: what happened and how to proceed. */
  readonly advice: string;
}

const {NotRun, Unknown, Run} = RequestExecution;

function tableEntry(
  status: number,
  run: RequestExecution,
  advice: string,
  retryAfterSeconds?: number,
): ErrorResponse {
  return {status, run, advice, retryAfterSeconds};
}

/** Maps each error kind to its response; a test checks that docs/errors.md matches it. */
export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorResponse>> = {
  [ErrorKind.BadRequest]: tableEntry(
    400,
    NotRun,
    'The request is malformed; correct it.',
  ),
  [ErrorKind.HeadTooLarge]: tableEntry(
    431,
    NotRun,
    'The request head is over the limit.',
  ),
  [ErrorKind.BodyTooLarge]: tableEntry(
    413,
    NotRun,
    'The request body is over the limit.',
  ),
  [ErrorKind.BodyTimeout]: tableEntry(
    408,
    NotRun,
    'The request body came too slowly.',
    1,
  ),
  [ErrorKind.CallerGone]: tableEntry(
    499,
    NotRun,
    'The caller closed the connection.',
  ),
  [ErrorKind.UpgradeRefused]: tableEntry(
    501,
    NotRun,
    'Protocol upgrades are not supported.',
  ),
  [ErrorKind.ExpectationRefused]: tableEntry(
    417,
    NotRun,
    'Only Expect: 100-continue is supported.',
  ),
  [ErrorKind.UnknownService]: tableEntry(
    404,
    NotRun,
    'No service of that name is in the bundle in force.',
  ),
  [ErrorKind.UnknownCaller]: tableEntry(
    401,
    NotRun,
    'Send a caller key that the bundle in force knows.',
  ),
  [ErrorKind.KeyRequired]: tableEntry(
    428,
    NotRun,
    'This service needs an Idempotency-Key header.',
  ),
  [ErrorKind.KeyInvalid]: tableEntry(
    400,
    NotRun,
    'The Idempotency-Key is malformed.',
  ),
  [ErrorKind.KeyReused]: tableEntry(
    422,
    NotRun,
    'The Idempotency-Key was used for another request.',
  ),
  [ErrorKind.KeyInProgress]: tableEntry(
    409,
    Unknown,
    'A request with this key is running; ask again later.',
    1,
  ),
  [ErrorKind.KeyAlreadyRun]: tableEntry(
    409,
    Run,
    'A request with this key was run; its answer is no longer held.',
  ),
  [ErrorKind.KeyOutcomeUnknown]: tableEntry(
    409,
    Unknown,
    'A request with this key may have been run; it will not be run again.',
  ),
  [ErrorKind.KeyForgotten]: tableEntry(
    409,
    Unknown,
    'This key is older than the claims that are kept; it will not be run.',
  ),
  [ErrorKind.ClaimUnavailable]: tableEntry(
    503,
    NotRun,
    'The platform log cannot be reached to claim the key.',
    2,
  ),
  [ErrorKind.NoBundle]: tableEntry(
    503,
    NotRun,
    'No configuration is in force at this daemon yet.',
    2,
  ),
  [ErrorKind.NoTarget]: tableEntry(
    503,
    NotRun,
    'No VM of the pool can take the request.',
    1,
  ),
  [ErrorKind.QueueFull]: tableEntry(
    503,
    NotRun,
    'The service is saturated.',
    1,
  ),
  [ErrorKind.QueueTimeout]: tableEntry(
    503,
    NotRun,
    'The request waited as long as it may.',
    1,
  ),
  [ErrorKind.QueueDropped]: tableEntry(
    503,
    NotRun,
    'A standing queue is being cut short.',
    1,
  ),
  [ErrorKind.QuotaExceeded]: tableEntry(
    429,
    NotRun,
    'The quota of the team is used up.',
    1,
  ),
  [ErrorKind.Draining]: tableEntry(
    503,
    NotRun,
    'This daemon is stopping; connect again.',
    1,
  ),
  [ErrorKind.TargetRefused]: tableEntry(
    503,
    NotRun,
    'The target refused the request before running it.',
    1,
  ),
  [ErrorKind.TargetUnreachable]: tableEntry(
    503,
    NotRun,
    'No connection to a target could be opened.',
    1,
  ),
  [ErrorKind.TargetFailed]: tableEntry(
    502,
    Unknown,
    'The connection to the target broke after the request was sent.',
  ),
  [ErrorKind.TargetTimeout]: tableEntry(
    504,
    Unknown,
    'The target did not answer in time.',
  ),
  [ErrorKind.AnswerTruncated]: tableEntry(
    502,
    Unknown,
    'The answer of the target broke off.',
  ),
  [ErrorKind.AnswerMalformed]: tableEntry(
    502,
    Unknown,
    'The answer of the target was malformed.',
  ),
  [ErrorKind.Internal]: tableEntry(
    500,
    Unknown,
    'The daemon failed; see its log.',
  ),
};
