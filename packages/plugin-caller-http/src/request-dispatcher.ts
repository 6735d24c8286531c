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

/** A checked request with its body and deadline, ready to be sent to a target. */
export interface DispatchableRequest extends IncomingRequest {
  readonly body: OutgoingBody;
  /** Monotonic milliseconds at which the caller is told that no response arrived in time. */
  readonly deadline: number;
}

/** Services that `RequestDispatcher` depends on. */
export interface RequestDispatcherDependencies {
  readonly clock: Clock;
  readonly serviceRouter: Pick<ServiceRouter, 'acquire' | 'decideRetry'>;
  readonly targetTransport: TargetTransport;
}

/** Maximum slots in a row that may stop being routable between selection and dispatch. */
const MAXIMUM_UNROUTABLE_SLOTS = 8;

/** Sends a request to a target, and retries it on another one where that cannot run it twice. */
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
   * Resolves when the target's complete response was handed to the caller. Otherwise throws the
   * `RequestError` to respond with, which takes all attempts into account.
   */
  async send(
    request: DispatchableRequest,
    responseWriter: CallerResponseWriter,
    recorder?: HeldAnswerRecorder,
  ): Promise<void> {
    const routedRequest = new RoutedRequest(request, responseWriter);
    let mayHaveRun = false;
    for (let attempts = 1; ; attempts++) {
      const result = await this.attempt(routedRequest, recorder);
      if (!result.failure) return;
      const failure: RequestError = mayHaveRun
        ? withUnknownOutcome(result.failure)
        : result.failure;
      if (!this.shouldRetry(routedRequest, result, attempts)) throw failure;
      mayHaveRun = failure.run !== RequestExecution.NotRun;
    }
  }

  private async attempt(
    routedRequest: RoutedRequest,
    recorder: HeldAnswerRecorder | undefined,
  ): Promise<AttemptResult> {
    let slot: HeldSlot;
    try {
      slot = await this.acquire(routedRequest);
    } catch (error) {
      if (error instanceof RequestError) return exchangeNotStarted(error);
      throw error;
    }
    try {
      return await this.exchange(routedRequest, recorder, slot);
    } finally {
      slot.release();
    }
  }

  /**
   * Acquires a slot that is still routable: while the request waited, the VM list or a drain may
   * have changed after the target was chosen.
   */
  private async acquire(routedRequest: RoutedRequest): Promise<HeldSlot> {
    for (
      let unroutableSlots = 0;
      unroutableSlots < MAXIMUM_UNROUTABLE_SLOTS;
      unroutableSlots++
    ) {
      const slot = await this.dependencies.serviceRouter.acquire(routedRequest);
      if (slot.isRoutable()) return slot;
      slot.release();
    }
    throw new RequestError(ErrorKind.NoTarget, 'every target chosen has left');
  }

  private async exchange(
    routedRequest: RoutedRequest,
    recorder: HeldAnswerRecorder | undefined,
    slot: HeldSlot,
  ): Promise<AttemptResult> {
    const {request, responseWriter} = routedRequest;
    const {clock, targetTransport} = this.dependencies;
    if (responseWriter.isCallerGone)
      return exchangeNotStarted(callerGoneError(RequestExecution.NotRun));
    const start = clock.monotonicMilliseconds();
    const responseHeadTimeoutMilliseconds = Math.ceil(request.deadline - start);
    if (responseHeadTimeoutMilliseconds <= 0) {
      const detail = 'the deadline has passed';
      return exchangeNotStarted(
        new RequestError(ErrorKind.QueueTimeout, detail),
      );
    }
    routedRequest.tried ??= new Set();
    routedRequest.tried.add(slot.id);
    const forwarder = new ResponseForwarder(responseWriter, recorder, clock);
    const {method, path, headers, body, idempotent} = request;
    const exchange = targetTransport.startExchange(
      slot,
      {
        method,
        path,
        headers,
        body,
        idempotent,
        responseHeadTimeoutMilliseconds,
      },
      forwarder,
    );
    // Closing the connection does not stop a non-idempotent request that a target may be running.
    // Releasing the slot while the target still works would give it more requests than it has
    // slots, and its response, once received, can be replayed to a retry under the same key.
    responseWriter.attach(exchange, !idempotent);
    const result = toAttemptResult(
      await exchange.done,
      forwarder,
      responseWriter,
    );
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
    {request, responseWriter}: RoutedRequest,
    {outcome, sent}: AttemptResult,
    attempts: number,
  ): boolean {
    if (
      outcome === undefined ||
      responseWriter.isCallerGone ||
      responseWriter.hasSentHead
    )
      return false;
    if (!canBeSentAgain(request.body)) return false;
    const now = this.dependencies.clock.monotonicMilliseconds();
    if (now >= request.deadline) return false;
    const {service, idempotent} = request;
    const failedAttempt = {kind: outcome, sent, idempotent, attempts};
    const decision = this.dependencies.serviceRouter.decideRetry(
      service,
      failedAttempt,
    );
    return decision === RetryDecision.Retry;
  }
}

/** Presents a request and its response writer to the router. */
class RoutedRequest implements AcquireRequest {
  /** Ids of the targets tried so far; undefined on the first attempt. */
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

  /** Created only when the router reads it, that is, when the request has to wait. */
  get signal(): AbortSignal {
    return this.responseWriter.callerGoneSignal;
  }
}

function canBeSentAgain(body: OutgoingBody): boolean {
  return body === null || body instanceof Uint8Array;
}
