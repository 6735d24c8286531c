import {
  ErrorKind,
  ExchangeEnd,
  MetricName,
  RequestError,
  RunOutcome,
  type Clock,
  type ExchangeResult,
  type Metrics,
  type OutgoingBody,
  type TargetTransport,
} from '@gentiandoor/kernel';
import {AnswerForwarder} from './answer-forwarder.js';
import type {CallerHttpOptions} from './caller-http-options.js';
import type {CallerSide} from './caller-side.js';
import type {HeldAnswerRecorder} from './held-answer-recorder.js';
import type {IncomingRequest} from './incoming-request.js';
import type {HeldSlot, ServiceRouter} from './service-router.js';

/** A request that is ready for a target. */
export interface ReadyRequest extends IncomingRequest {
  readonly body: OutgoingBody;
  /** Monotonic milliseconds at which the caller is told that no answer came. */
  readonly deadline: number;
}

/** What sending a request needs. */
export interface RequestDispatcherDependencies {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly callerHttpOptions: CallerHttpOptions;
  readonly serviceRouter: Pick<ServiceRouter, 'acquire'>;
  readonly targetTransport: TargetTransport;
}

/** Kinds after which another target may do better. */
const RETRIED_WHEN_NOT_RUN: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.TargetRefused,
  ErrorKind.TargetUnreachable,
]);
const RETRIED_WHEN_IDEMPOTENT: ReadonlySet<ErrorKind> = new Set([
  ...RETRIED_WHEN_NOT_RUN,
  ErrorKind.TargetFailed,
  ErrorKind.AnswerMalformed,
]);

/** Sends a request to a target, and to another one where that cannot run it twice. */
export class RequestDispatcher {
  constructor(private readonly dependencies: RequestDispatcherDependencies) {}

  /**
   * Resolves when the target's whole answer was handed to the caller; throws the
   * `RequestError` to answer otherwise, with what is known of all attempts.
   */
  async send(
    request: ReadyRequest,
    caller: CallerSide,
    recorder?: HeldAnswerRecorder,
  ): Promise<void> {
    let mayHaveRun = false;
    for (let attempt = 0; ; attempt++) {
      const failure = await this.attempt(request, caller, recorder);
      if (!failure) return;
      const final: RequestError = mayHaveRun
        ? withUnknownOutcome(failure)
        : failure;
      if (!this.mayRetry(request, caller, failure, attempt)) throw final;
      mayHaveRun = final.run !== RunOutcome.NotRun;
      this.dependencies.metrics.increment(MetricName.Retries, {
        reason: failure.kind,
      });
    }
  }

  private async attempt(
    request: ReadyRequest,
    caller: CallerSide,
    recorder: HeldAnswerRecorder | undefined,
  ): Promise<RequestError | undefined> {
    let slot: HeldSlot;
    try {
      slot = await this.dependencies.serviceRouter.acquire(request.service);
    } catch (error) {
      if (error instanceof RequestError) return error;
      throw error;
    }
    try {
      if (caller.isGone) return callerGone(RunOutcome.NotRun);
      return await this.exchange(request, caller, recorder, slot);
    } finally {
      slot.release();
    }
  }

  private async exchange(
    request: ReadyRequest,
    caller: CallerSide,
    recorder: HeldAnswerRecorder | undefined,
    slot: HeldSlot,
  ): Promise<RequestError | undefined> {
    const remaining = this.remaining(request);
    if (remaining <= 0) {
      return new RequestError(
        ErrorKind.QueueTimeout,
        'the deadline has passed',
      );
    }
    const forwarder = new AnswerForwarder(caller, recorder);
    const exchange = this.dependencies.targetTransport.begin(
      slot,
      {...request, headMilliseconds: remaining},
      forwarder,
    );
    // A non-idempotent request that a target may be running is not stopped by closing its
    // connection. Freeing the slot while the target still works would give it more than its
    // slots, and the answer, once it comes, serves the caller's retry under the same key.
    caller.attach(exchange, !request.idempotent);
    const result = await exchange.done;
    return failureOf(result, forwarder, caller);
  }

  private mayRetry(
    request: ReadyRequest,
    caller: CallerSide,
    failure: RequestError,
    attempt: number,
  ): boolean {
    if (attempt >= this.dependencies.callerHttpOptions.retries) return false;
    if (caller.isGone || caller.hasHead) return false;
    if (!canBeSentAgain(request.body) || this.remaining(request) <= 0)
      return false;
    if (request.idempotent) return RETRIED_WHEN_IDEMPOTENT.has(failure.kind);
    return (
      failure.run === RunOutcome.NotRun &&
      RETRIED_WHEN_NOT_RUN.has(failure.kind)
    );
  }

  private remaining(request: ReadyRequest): number {
    const now = this.dependencies.clock.monotonicMilliseconds();
    return Math.ceil(request.deadline - now);
  }
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

function failureOf(
  result: ExchangeResult,
  forwarder: AnswerForwarder,
  caller: CallerSide,
): RequestError | undefined {
  const {end, error} = result;
  if (forwarder.refusal) {
    return new RequestError(ErrorKind.TargetRefused, 'the target is busy', {
      retryAfterSeconds: forwarder.refusal.retryAfterSeconds,
    });
  }
  if (end === ExchangeEnd.Whole)
    return caller.isGone ? callerGone(RunOutcome.Run) : undefined;
  const run =
    end === ExchangeEnd.NotSent ? RunOutcome.NotRun : RunOutcome.Unknown;
  // The request's own body failed: its kind tells the caller more than the target's side.
  const kind = error instanceof RequestError ? error.kind : KIND_OF_END[end];
  return new RequestError(kind, error?.message ?? end, {run, cause: error});
}

/** "Not run" must hold over all attempts: an earlier one may have been run. */
function withUnknownOutcome(error: RequestError): RequestError {
  if (error.run !== RunOutcome.NotRun) return error;
  return new RequestError(error.kind, error.message, {
    run: RunOutcome.Unknown,
    retryAfterSeconds: error.retryAfterSeconds,
    cause: error,
  });
}

function canBeSentAgain(body: OutgoingBody): boolean {
  return body === null || body instanceof Uint8Array;
}

function callerGone(run: RunOutcome): RequestError {
  return new RequestError(
    ErrorKind.CallerGone,
    'the caller closed the connection',
    {run},
  );
}
