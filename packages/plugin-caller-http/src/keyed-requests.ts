import {createHash} from 'node:crypto';
import {
  ErrorKind,
  RequestError,
  RequestExecution,
  resolveDependencies,
} from '@gentiandoor/kernel';
import type {
  HeldAnswer,
  ClaimHandle,
  IdempotencyGuard,
} from '@gentiandoor/shared-state';
import type {CallerHttpOptions} from './caller-http-options.js';
import type {CallerResponseWriter} from './caller-response-writer.js';
import {toRequestError} from './error-response.js';
import {HeldAnswerRecorder} from './held-answer-recorder.js';
import type {
  DispatchableRequest,
  RequestDispatcher,
} from './request-dispatcher.js';

/** Says that the answer is the one that an earlier request with the key got. */
export const REPLAYED_HEADER = 'gentiandoor-replayed';
/** Callers without a key of the bundle share this one: they cannot be told apart. */
const ANONYMOUS_CALLER = '';

/** What keyed requests need. */
export interface KeyedRequestsDependencies {
  readonly callerHttpOptions: CallerHttpOptions;
  readonly onceOnly: IdempotencyGuard;
  readonly requestDispatcher: RequestDispatcher;
}

/** Runs a request under its idempotency key: claim, then slot, then dispatch. */
export class KeyedRequests {
  private readonly dependencies: KeyedRequestsDependencies;

  constructor(dependencies: KeyedRequestsDependencies) {
    this.dependencies = resolveDependencies(
      dependencies,
      'callerHttpOptions',
      'onceOnly',
      'requestDispatcher',
    );
  }

  /** Resolves when the caller has a whole answer, of now or of then; throws `RequestError`. */
  async send(
    request: DispatchableRequest,
    key: string,
    caller: CallerResponseWriter,
  ): Promise<void> {
    const decision = await this.dependencies.onceOnly.begin(
      {
        service: request.service,
        caller: request.caller?.name ?? ANONYMOUS_CALLER,
        key,
        fingerprint: fingerprintOf(request),
      },
      caller.callerGoneSignal,
    );
    if (decision.run) await this.runWithClaim(request, caller, decision.claim);
    else this.replay(caller, decision.answer);
  }

  private async runWithClaim(
    request: DispatchableRequest,
    caller: CallerResponseWriter,
    claim: ClaimHandle,
  ): Promise<void> {
    const {callerHttpOptions, requestDispatcher} = this.dependencies;
    const recorder = new HeldAnswerRecorder(
      callerHttpOptions.held_answer_bytes,
    );
    try {
      await requestDispatcher.send(request, caller, recorder);
    } catch (error) {
      settleClaim(claim, toRequestError(error).run, recorder);
      throw error;
    }
    claim.finish(recorder.answer);
  }

  private replay(caller: CallerResponseWriter, answer: HeldAnswer): void {
    caller.writeHead(answer.status, [
      ...answer.headers,
      REPLAYED_HEADER,
      'yes',
    ]);
    caller.writeData(Buffer.from(answer.body));
    caller.end([]);
  }
}

/** The one place that ends a claim after a failure. */
function settleClaim(
  claim: ClaimHandle,
  run: RequestExecution,
  recorder: HeldAnswerRecorder,
): void {
  if (run === RequestExecution.NotRun) claim.release();
  else if (run === RequestExecution.Run) claim.finish(recorder.answer);
  else claim.lose();
}

/** Digest of method, path and body; the lengths keep one from running into the next. */
function fingerprintOf(request: DispatchableRequest): string {
  const {method, path, body} = request;
  if (body !== null && !(body instanceof Uint8Array)) {
    throw new RequestError(
      ErrorKind.BodyTooLarge,
      'a request with an idempotency key must fit into keyed_body_bytes',
    );
  }
  const hash = createHash('sha256').update(`${method} ${path}\n`);
  if (body !== null) hash.update(body);
  return hash.digest('hex');
}
