import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  ErrorKind,
  LogEvent,
  MetricName,
  RequestError,
  RequestExecution,
  type Clock,
  type DecisionJournal,
  type Logger,
  type Metrics,
  type OutgoingBody,
  resolveDependencies,
} from '@gentiandoor/kernel';
import {BodyReader} from './body-reader.js';
import type {CallerHttpOptions} from './caller-http-options.js';
import {CallerResponseWriter} from './caller-response-writer.js';
import {sendErrorResponse, toRequestError} from './error-response.js';
import {
  isKeyed,
  type HeadCheck,
  type IncomingRequest,
} from './incoming-request.js';
import type {KeyedRequests} from './keyed-requests.js';
import {RefusalJournal} from './refusal-journal.js';
import type {RequestDispatcher} from './request-dispatcher.js';

/** What a request needs. */
export interface RequestHandlerDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly callerHttpOptions: CallerHttpOptions;
  readonly headCheck: HeadCheck;
  readonly keyedRequests: KeyedRequests;
  readonly requestDispatcher: RequestDispatcher;
  readonly decisionJournal: DecisionJournal;
}

/** A request under way, for the connection's own errors. */
export class InFlightRequest {
  /** Undefined until the request's body is read, and for one without a body. */
  bodyReader: BodyReader | undefined;
  /** Undefined until the head has been checked. */
  responseWriter: CallerResponseWriter | undefined;
  /** Undefined until the head has been checked. */
  service: string | undefined;
  /** Undefined until the head has been checked. */
  idempotent: boolean | undefined;
  /** True once it was asked what became of earlier requests with the same key. */
  isKeyLookedUp = false;
  /** True once the caller was told that the connection closes behind this answer. */
  isConnectionClosing = false;
  private failure: RequestError | undefined;

  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    /** Whether the caller waits for `100 Continue` before it sends the body. */
    readonly expectsContinue: boolean,
    private readonly shouldCloseConnection: (item: InFlightRequest) => boolean,
  ) {}

  /** Decides, as the head of the answer goes out, whether the connection closes behind it. */
  decideConnectionClose(): boolean {
    this.isConnectionClosing ||= this.shouldCloseConnection(this);
    return this.isConnectionClosing;
  }

  /** The connection failed within the request's body. */
  fail(error: RequestError): void {
    this.failure ??= error;
    this.bodyReader?.fail(error);
  }

  /** Throws what `fail` was given. */
  throwIfFailed(): void {
    if (this.failure) throw this.failure;
  }
}

/** Takes one request from its head to the end of its answer. */
export class RequestHandler {
  private readonly dependencies: RequestHandlerDependencies;
  private readonly refusalJournal: RefusalJournal;

  constructor(dependencies: RequestHandlerDependencies) {
    this.dependencies = resolveDependencies(
      dependencies,
      'clock',
      'logger',
      'metrics',
      'callerHttpOptions',
      'headCheck',
      'keyedRequests',
      'requestDispatcher',
      'decisionJournal',
    );
    const {clock, decisionJournal} = this.dependencies;
    this.refusalJournal = new RefusalJournal(clock, decisionJournal);
  }

  /** Never throws: whatever happens, the caller is answered or cut off. */
  async handle(underWay: InFlightRequest): Promise<void> {
    const {clock, metrics} = this.dependencies;
    const start = clock.monotonicMilliseconds();
    try {
      const service = await this.respond(underWay, start);
      const taken = clock.monotonicMilliseconds() - start;
      metrics.increment(MetricName.Requests, {service});
      metrics.timing(MetricName.RequestDuration, taken, {service});
    } catch (error) {
      this.respondWithError(
        underWay,
        withUnknownOutcomeBeforeKeyLookup(toRequestError(error), underWay),
      );
    }
  }

  /** Resolves with the service's name when the caller has a whole answer. */
  private async respond(
    underWay: InFlightRequest,
    start: number,
  ): Promise<string> {
    const {callerHttpOptions, clock, headCheck} = this.dependencies;
    const {request, response} = underWay;
    const incoming = headCheck.check(request);
    underWay.idempotent = incoming.idempotent;
    underWay.service = incoming.service;
    const caller = new CallerResponseWriter(response, {
      clock,
      shouldCloseConnection: () => underWay.decideConnectionClose(),
      progressTimeoutMilliseconds: callerHttpOptions.progress_milliseconds,
    });
    underWay.responseWriter = caller;
    const body = hasBody(request)
      ? await this.readBody(underWay, incoming)
      : null;
    const deadline = start + incoming.serviceEntry.deadlineMilliseconds;
    const ready = {...incoming, body, deadline};
    const {keyedRequests, requestDispatcher} = this.dependencies;
    const key = incoming.idempotencyKey;
    underWay.isKeyLookedUp = true;
    if (key === undefined) await requestDispatcher.send(ready, caller);
    else await keyedRequests.send(ready, key, caller);
    return incoming.service;
  }

  private readBody(
    underWay: InFlightRequest,
    incoming: IncomingRequest,
  ): Promise<OutgoingBody> {
    const {callerHttpOptions: options, clock} = this.dependencies;
    const keyed = incoming.idempotencyKey !== undefined;
    const {request} = underWay;
    const reader = new BodyReader(
      request,
      {
        maximumBufferedBytes: keyed
          ? options.keyed_body_bytes
          : options.buffered_body_bytes,
        maximumBytes: keyed
          ? Math.min(options.keyed_body_bytes, options.body_bytes)
          : options.body_bytes,
        progressTimeoutMilliseconds: options.progress_milliseconds,
      },
      clock,
    );
    underWay.bodyReader = reader;
    underWay.throwIfFailed();
    if (underWay.expectsContinue) underWay.response.writeContinue();
    return reader.read();
  }

  private respondWithError(
    underWay: InFlightRequest,
    error: RequestError,
  ): void {
    const {logger, metrics} = this.dependencies;
    metrics.increment(MetricName.Refusals, {reason: error.kind});
    if (underWay.service !== undefined)
      this.refusalJournal.record(underWay.service, error);
    if (error.kind === ErrorKind.Internal) {
      logger.error(LogEvent.RequestInternalError, {error: error.message});
    } else {
      logger.debug(LogEvent.RequestFailed, {
        kind: error.kind,
        detail: error.message,
      });
    }
    // The caller may or may not send the body that it was not asked for: only a new
    // connection makes clear where the next request begins.
    const unasked = underWay.expectsContinue && !underWay.bodyReader;
    if (unasked) underWay.isConnectionClosing = true;
    sendErrorResponse(
      underWay.response,
      error,
      underWay.decideConnectionClose(),
    );
  }
}

/** Refusals that an earlier, well-formed try of the same request need not have met. */
const TRANSIENT_REFUSALS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.NoBundle,
  ErrorKind.UnknownService,
  ErrorKind.UnknownCaller,
  ErrorKind.BodyTimeout,
]);

/**
 * A caller that hears "not run" of a key may send the work under a new key. A daemon that has
 * just started refuses a retry before it knows the key, while the first try was run elsewhere:
 * the work would run twice. So it says "unknown" of a key that it has not looked up.
 */
function withUnknownOutcomeBeforeKeyLookup(
  error: RequestError,
  underWay: InFlightRequest,
): RequestError {
  const isCertain =
    error.run !== RequestExecution.NotRun || underWay.isKeyLookedUp;
  if (isCertain || !TRANSIENT_REFUSALS.has(error.kind)) return error;
  if (!isKeyed(underWay.request)) return error;
  return new RequestError(error.kind, error.message, {
    run: RequestExecution.Unknown,
    retryAfterSeconds: error.retryAfterSeconds,
    cause: error,
  });
}

function hasBody(request: IncomingMessage): boolean {
  const length = request.headers['content-length'];
  if (request.headers['transfer-encoding'] !== undefined) return true;
  return length !== undefined && length !== '0';
}
