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

/** Response header that marks a replay of the response to an earlier request with the key. */
export const REPLAYED_HEADER = 'gentiandoor-replayed';
/** Callers that are not in the bundle share this name: they cannot be distinguished. */
const ANONYMOUS_CALLER = '';

/** Services that `KeyedRequests` depends on. */
export interface KeyedRequestsDependencies {
  readonly callerHttpOptions: CallerHttpOptions;
  readonly onceOnly: IdempotencyGuard;
  readonly requestDispatcher: RequestDispatcher;
}

/** Runs a request under its idempotency key: first the claim, then a slot, then the dispatch. */
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

  /** Resolves when the caller has a complete response, new or replayed; throws `RequestError`. */
  async send(
    request: DispatchableRequest,
    key: string,
    responseWriter: CallerResponseWriter,
  ): Promise<void> {
    const decision = await this.dependencies.onceOnly.begin(
      {
        service: request.service,
        caller: request.caller?.name ?? ANONYMOUS_CALLER,
        key,
        fingerprint: fingerprintOf(request),
      },
      responseWriter.callerGoneSignal,
    );
    if (decision.run)
      await this.runWithClaim(request, responseWriter, decision.claim);
    else this.replay(responseWriter, decision.answer);
  }

  private async runWithClaim(
    request: DispatchableRequest,
    responseWriter: CallerResponseWriter,
    claim: ClaimHandle,
  ): Promise<void> {
    const {callerHttpOptions, requestDispatcher} = this.dependencies;
    const recorder = new HeldAnswerRecorder(
      callerHttpOptions.held_answer_bytes,
    );
    try {
      await requestDispatcher.send(request, responseWriter, recorder);
    } catch (error) {
      settleClaim(claim, toRequestError(error).run, recorder);
      throw error;
    }
    claim.finish(recorder.answer);
  }

  private replay(
    responseWriter: CallerResponseWriter,
    answer: HeldAnswer,
  ): void {
    responseWriter.writeHead(answer.status, [
      ...answer.headers,
      REPLAYED_HEADER,
      'yes',
    ]);
    responseWriter.writeData(Buffer.from(answer.body));
    responseWriter.end([]);
  }
}

/** Ends a claim after a failure; this is the only place that does so. */
function settleClaim(
  claim: ClaimHandle,
  run: RequestExecution,
  recorder: HeldAnswerRecorder,
): void {
  if (run === RequestExecution.NotRun) claim.release();
  else if (run === RequestExecution.Run) claim.finish(recorder.answer);
  else claim.lose();
}

/** Returns a digest of method, path and body; the separators keep them from running together. */
function fingerprintOf(request: DispatchableRequest): string {
  const {method, path, body} = request;
  if (body !== null && !(body instanceof Uint8Array)) {
    throw new RequestError(
      ErrorKind.BodyTooLarge,
      'the body of a request with an idempotency key must fit into keyed_body_bytes',
    );
  }
  const hash = createHash('sha256').update(`${method} ${path}\n`);
  if (body !== null) hash.update(body);
  return hash.digest('hex');
}
