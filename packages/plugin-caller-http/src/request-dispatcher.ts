import {
  ErrorKind,
  RequestError,
  RequestExecution,
  type Clock,
  type OutgoingBody,
  type TargetTransport,
  resolveDependencies,
} from '@gentiandoor/kernel';
import {RetryDecision} from '@gentiandoor/decisions';
import {ResponseForwarder} from './response-forwarder.js';
import {
  callerGoneError,
  exchangeNotStarted,
  toAttemptResult,
  withUnknownOutcome,
  type AttemptResult,
} from './attempt-result.js';
import type {CallerResponseWriter} from './caller-response-writer.js';
import type {HeldAnswerRecorder} from './held-answer-recorder.js';
import type {IncomingRequest} from './incoming-request.js';
import type {
  AcquireRequest,
  HeldSlot,
  ServiceRouter,
} from './service-router.js';

/** A request that is ready for a target. */
export interface DispatchableRequest extends IncomingRequest {
  readonly body: OutgoingBody;
  /** Monotonic milliseconds at which the caller is told that no answer came. */
  readonly deadline: number;
}

/** What sending a request needs. */
export interface RequestDispatcherDependencies {
  readonly clock: Clock;
  readonly serviceRouter: Pick<ServiceRouter, 'acquire' | 'judgeRetry'>;
  readonly targetTransport: TargetTransport;
}

/** Slots in a row that stop being routable between choice and dispatch. */
const MAXIMUM_UNROUTABLE_SLOTS = 8;

/** Sends a request to a target, and to another one where that cannot run it twice. */
export class RequestDispatcher {
  private readonly dependencies: RequestDispatcherDependencies;

  constructor(dependencies: RequestDispatcherDependencies) {
    this.dependencies = resolveDependencies(
      dependencies,
      'clock',
      'serviceRouter',
      'targetTransport',
    );
  }

  /**
   * Resolves when the target's whole answer was handed to the caller; throws the
   * `RequestError` to answer otherwise, with what is known of all attempts.
   */
  async send(
    request: DispatchableRequest,
    caller: CallerResponseWriter,
    recorder?: HeldAnswerRecorder,
  ): Promise<void> {
    const wish = new RoutedRequest(request, caller);
    let mayHaveRun = false;
    for (let attempts = 1; ; attempts++) {
      const result = await this.attempt(wish, recorder);
      if (!result.failure) return;
      const failure: RequestError = mayHaveRun
        ? withUnknownOutcome(result.failure)
        : result.failure;
      if (!this.shouldRetry(wish, result, attempts)) throw failure;
      mayHaveRun = failure.run !== RequestExecution.NotRun;
    }
  }

  private async attempt(
    wish: RoutedRequest,
    recorder: HeldAnswerRecorder | undefined,
  ): Promise<AttemptResult> {
    let slot: HeldSlot;
    try {
      slot = await this.acquire(wish);
    } catch (error) {
      if (error instanceof RequestError) return exchangeNotStarted(error);
      throw error;
    }
    try {
      return await this.exchange(wish, recorder, slot);
    } finally {
      slot.release();
    }
  }

  /** The list or a drain may have changed since the choice, while the request waited. */
  private async acquire(wish: RoutedRequest): Promise<HeldSlot> {
    for (let lost = 0; lost < MAXIMUM_UNROUTABLE_SLOTS; lost++) {
      const slot = await this.dependencies.serviceRouter.acquire(wish);
      if (slot.isRoutable()) return slot;
      slot.release();
    }
    throw new RequestError(ErrorKind.NoTarget, 'every target chosen has left');
  }

  private async exchange(
    wish: RoutedRequest,
    recorder: HeldAnswerRecorder | undefined,
    slot: HeldSlot,
  ): Promise<AttemptResult> {
    const {request, responseWriter: caller} = wish;
    const {clock, targetTransport} = this.dependencies;
    if (caller.isCallerGone)
      return exchangeNotStarted(callerGoneError(RequestExecution.NotRun));
    const start = clock.monotonicMilliseconds();
    const responseHeadTimeoutMilliseconds = Math.ceil(request.deadline - start);
    if (responseHeadTimeoutMilliseconds <= 0) {
      const detail = 'the deadline has passed';
      return exchangeNotStarted(
        new RequestError(ErrorKind.QueueTimeout, detail),
      );
    }
    wish.tried ??= new Set();
    wish.tried.add(slot.id);
    const forwarder = new ResponseForwarder(caller, recorder, clock);
    const {method, path, headers, body, idempotent} = request;
    const exchange = targetTransport.startExchange(
      slot,
      {
        method,
        path,
        headers,
        body,
        idempotent,
        responseHeadTimeoutMilliseconds: responseHeadTimeoutMilliseconds,
      },
      forwarder,
    );
    // A non-idempotent request that a target may be running is not stopped by closing its
    // connection. Freeing the slot while the target still works would give it more than its
    // slots, and the answer, once it comes, serves the caller's retry under the same key.
    caller.attach(exchange, !idempotent);
    const result = toAttemptResult(await exchange.done, forwarder, caller);
    const end = forwarder.headReceivedAt ?? clock.monotonicMilliseconds();
    if (result.outcome !== undefined) {
      slot.report({
        kind: result.outcome,
        latencyMilliseconds: end - start,
        leaving: forwarder.isTargetLeaving,
      });
    }
    return result;
  }

  private shouldRetry(
    {request, responseWriter: caller}: RoutedRequest,
    {outcome, sent}: AttemptResult,
    attempts: number,
  ): boolean {
    if (outcome === undefined || caller.isCallerGone || caller.hasSentHead)
      return false;
    if (!canBeSentAgain(request.body)) return false;
    const now = this.dependencies.clock.monotonicMilliseconds();
    if (now >= request.deadline) return false;
    const {service, idempotent} = request;
    const question = {kind: outcome, sent, idempotent, attempts};
    const verdict = this.dependencies.serviceRouter.judgeRetry(
      service,
      question,
    );
    return verdict === RetryDecision.Retry;
  }
}

/** A request as the router sees it. */
class RoutedRequest implements AcquireRequest {
  /** Undefined on the first attempt. */
  tried: Set<string> | undefined;

  constructor(
    readonly request: DispatchableRequest,
    readonly responseWriter: CallerResponseWriter,
  ) {}

  get service(): string {
    return this.request.service;
  }

  get caller(): string | undefined {
    return this.request.caller?.name;
  }

  get team(): string | undefined {
    return this.request.caller?.team;
  }

  get idempotent(): boolean {
    return this.request.idempotent;
  }

  get deadline(): number {
    return this.request.deadline;
  }

  /** Made only when the router asks, that is, when the request has to wait. */
  get signal(): AbortSignal {
    return this.responseWriter.callerGoneSignal;
  }
}

function canBeSentAgain(body: OutgoingBody): boolean {
  return body === null || body instanceof Uint8Array;
}
