import {
  ErrorKind,
  RequestError,
  RunOutcome,
  type Clock,
  type OutgoingBody,
  type TargetTransport,
  resolveNow,
} from '@gentiandoor/kernel';
import {RetryVerdict} from '@gentiandoor/decisions';
import {AnswerForwarder} from './answer-forwarder.js';
import {
  callerGone,
  notBegun,
  resultOf,
  withUnknownOutcome,
  type AttemptResult,
} from './attempt-result.js';
import type {CallerSide} from './caller-side.js';
import type {HeldAnswerRecorder} from './held-answer-recorder.js';
import type {IncomingRequest} from './incoming-request.js';
import type {
  AcquireRequest,
  HeldSlot,
  ServiceRouter,
} from './service-router.js';

/** A request that is ready for a target. */
export interface ReadyRequest extends IncomingRequest {
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
const MOST_LOST_SLOTS = 8;

/** Sends a request to a target, and to another one where that cannot run it twice. */
export class RequestDispatcher {
  private readonly dependencies: RequestDispatcherDependencies;

  constructor(dependencies: RequestDispatcherDependencies) {
    this.dependencies = resolveNow(
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
    request: ReadyRequest,
    caller: CallerSide,
    recorder?: HeldAnswerRecorder,
  ): Promise<void> {
    const wish = new SlotWish(request, caller);
    let mayHaveRun = false;
    for (let attempts = 1; ; attempts++) {
      const result = await this.attempt(wish, recorder);
      if (!result.failure) return;
      const failure: RequestError = mayHaveRun
        ? withUnknownOutcome(result.failure)
        : result.failure;
      if (!this.mayRetry(wish, result, attempts)) throw failure;
      mayHaveRun = failure.run !== RunOutcome.NotRun;
    }
  }

  private async attempt(
    wish: SlotWish,
    recorder: HeldAnswerRecorder | undefined,
  ): Promise<AttemptResult> {
    let slot: HeldSlot;
    try {
      slot = await this.acquire(wish);
    } catch (error) {
      if (error instanceof RequestError) return notBegun(error);
      throw error;
    }
    try {
      return await this.exchange(wish, recorder, slot);
    } finally {
      slot.release();
    }
  }

  /** The list or a drain may have changed since the choice, while the request waited. */
  private async acquire(wish: SlotWish): Promise<HeldSlot> {
    for (let lost = 0; lost < MOST_LOST_SLOTS; lost++) {
      const slot = await this.dependencies.serviceRouter.acquire(wish);
      if (slot.isRoutable()) return slot;
      slot.release();
    }
    throw new RequestError(ErrorKind.NoTarget, 'every target chosen has left');
  }

  private async exchange(
    wish: SlotWish,
    recorder: HeldAnswerRecorder | undefined,
    slot: HeldSlot,
  ): Promise<AttemptResult> {
    const {request, side: caller} = wish;
    const {clock, targetTransport} = this.dependencies;
    if (caller.isGone) return notBegun(callerGone(RunOutcome.NotRun));
    const start = clock.monotonicMilliseconds();
    const headMilliseconds = Math.ceil(request.deadline - start);
    if (headMilliseconds <= 0) {
      const detail = 'the deadline has passed';
      return notBegun(new RequestError(ErrorKind.QueueTimeout, detail));
    }
    wish.tried ??= new Set();
    wish.tried.add(slot.id);
    const forwarder = new AnswerForwarder(caller, recorder, clock);
    const {method, path, headers, body, idempotent} = request;
    const exchange = targetTransport.begin(
      slot,
      {method, path, headers, body, idempotent, headMilliseconds},
      forwarder,
    );
    // A non-idempotent request that a target may be running is not stopped by closing its
    // connection. Freeing the slot while the target still works would give it more than its
    // slots, and the answer, once it comes, serves the caller's retry under the same key.
    caller.attach(exchange, !idempotent);
    const result = resultOf(await exchange.done, forwarder, caller);
    const end = forwarder.headAt ?? clock.monotonicMilliseconds();
    if (result.outcome !== undefined) {
      slot.report({
        kind: result.outcome,
        latencyMilliseconds: end - start,
        leaving: forwarder.saysLeaving,
      });
    }
    return result;
  }

  private mayRetry(
    {request, side: caller}: SlotWish,
    {outcome, sent}: AttemptResult,
    attempts: number,
  ): boolean {
    if (outcome === undefined || caller.isGone || caller.hasHead) return false;
    if (!canBeSentAgain(request.body)) return false;
    const now = this.dependencies.clock.monotonicMilliseconds();
    if (now >= request.deadline) return false;
    const {service, idempotent} = request;
    const question = {kind: outcome, sent, idempotent, attempts};
    const verdict = this.dependencies.serviceRouter.judgeRetry(
      service,
      question,
    );
    return verdict === RetryVerdict.Retry;
  }
}

/** A request as the router sees it. */
class SlotWish implements AcquireRequest {
  /** Undefined on the first attempt. */
  tried: Set<string> | undefined;

  constructor(
    readonly request: ReadyRequest,
    readonly side: CallerSide,
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
    return this.side.goneSignal;
  }
}

function canBeSentAgain(body: OutgoingBody): boolean {
  return body === null || body instanceof Uint8Array;
}
