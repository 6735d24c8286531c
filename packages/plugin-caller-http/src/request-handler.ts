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

/** Services that `RequestHandler` depends on. */
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

/** A request in flight, with the state that is needed when its connection fails. */
export class InFlightRequest {
  /** Undefined until reading of the body starts, and for a request without a body. */
  bodyReader: BodyReader | undefined;
  /** Undefined until the head has been checked. */
  responseWriter: CallerResponseWriter | undefined;
  /** Undefined until the head has been checked. */
  service: string | undefined;
  /** Undefined until the head has been checked. */
  idempotent: boolean | undefined;
  /** True once the lookup of earlier requests with the same key has started. */
  isKeyLookedUp = false;
  /** True once it is decided that the connection closes after this response. */
  isConnectionClosing = false;
  private failure: RequestError | undefined;

  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    /** Whether the caller waits for `100 Continue` before it sends the body. */
    readonly expectsContinue: boolean,
    private readonly shouldCloseConnection: (item: InFlightRequest) => boolean,
  ) {}

  /** Decides, when the response head is sent, whether the connection closes after the response. */
  decideConnectionClose(): boolean {
    this.isConnectionClosing ||= this.shouldCloseConnection(this);
    return this.isConnectionClosing;
  }

  /** Fails the request because its connection failed before the whole body arrived. */
  fail(error: RequestError): void {
    this.failure ??= error;
    this.bodyReader?.fail(error);
  }

  /** Throws the error that `fail` was called with, if any. */
  throwIfFailed(): void {
    if (this.failure) throw this.failure;
  }
}

/** Handles one request from its head to the end of its response. */
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

  /** Never throws: in every case the caller gets a response, or its response is aborted. */
  async handle(inFlight: InFlightRequest): Promise<void> {
    const {clock, metrics} = this.dependencies;
    const start = clock.monotonicMilliseconds();
    try {
      const service = await this.respond(inFlight, start);
      const duration = clock.monotonicMilliseconds() - start;
      metrics.increment(MetricName.Requests, {service});
      metrics.timing(MetricName.RequestDuration, duration, {service});
    } catch (error) {
      this.respondWithError(
        inFlight,
        withUnknownOutcomeBeforeKeyLookup(toRequestError(error), inFlight),
      );
    }
  }

  /** Resolves with the service's name when the caller has a complete response. */
  private async respond(
    inFlight: InFlightRequest,
    start: number,
  ): Promise<string> {
    const {callerHttpOptions, clock, headCheck} = this.dependencies;
    const {request, response} = inFlight;
    const incoming = headCheck.check(request);
    inFlight.idempotent = incoming.idempotent;
    inFlight.service = incoming.service;
    const responseWriter = new CallerResponseWriter(response, {
      clock,
      shouldCloseConnection: () => inFlight.decideConnectionClose(),
      progressTimeoutMilliseconds: callerHttpOptions.progress_milliseconds,
    });
    inFlight.responseWriter = responseWriter;
    const body = hasBody(request)
      ? await this.readBody(inFlight, incoming)
      : null;
    const deadline = start + incoming.serviceEntry.deadlineMilliseconds;
    const dispatchable = {...incoming, body, deadline};
    const {keyedRequests, requestDispatcher} = this.dependencies;
    const key = incoming.idempotencyKey;
    inFlight.isKeyLookedUp = true;
    if (key === undefined)
      await requestDispatcher.send(dispatchable, responseWriter);
    else await keyedRequests.send(dispatchable, key, responseWriter);
    return incoming.service;
  }

  private readBody(
    inFlight: InFlightRequest,
    incoming: IncomingRequest,
  ): Promise<OutgoingBody> {
    const {callerHttpOptions: options, clock} = this.dependencies;
    const hasKey = incoming.idempotencyKey !== undefined;
    const {request} = inFlight;
    const bodyReader = new BodyReader(
      request,
      {
        maximumBufferedBytes: hasKey
          ? options.keyed_body_bytes
          : options.buffered_body_bytes,
        maximumBytes: hasKey
          ? Math.min(options.keyed_body_bytes, options.body_bytes)
          : options.body_bytes,
        progressTimeoutMilliseconds: options.progress_milliseconds,
      },
      clock,
    );
    inFlight.bodyReader = bodyReader;
    inFlight.throwIfFailed();
    if (inFlight.expectsContinue) inFlight.response.writeContinue();
    return bodyReader.read();
  }

  private respondWithError(
    inFlight: InFlightRequest,
    error: RequestError,
  ): void {
    const {logger, metrics} = this.dependencies;
    metrics.increment(MetricName.Refusals, {reason: error.kind});
    if (inFlight.service !== undefined)
      this.refusalJournal.record(inFlight.service, error);
    if (error.kind === ErrorKind.Internal) {
      logger.error(LogEvent.RequestInternalError, {error: error.message});
    } else {
      logger.debug(LogEvent.RequestFailed, {
        kind: error.kind,
        detail: error.message,
      });
    }
    // The caller got no `100 Continue` and may or may not send the body: only a new connection
    // makes clear where the next request begins.
    const awaitsContinue = inFlight.expectsContinue && !inFlight.bodyReader;
    if (awaitsContinue) inFlight.isConnectionClosing = true;
    sendErrorResponse(
      inFlight.response,
      error,
      inFlight.decideConnectionClose(),
    );
  }
}

/** Refusals that an earlier, well-formed attempt at the same request may not have met. */
const TRANSIENT_REFUSALS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.NoBundle,
  ErrorKind.UnknownService,
  ErrorKind.UnknownCaller,
  ErrorKind.BodyTimeout,
]);

/**
 * Changes "not run" to "unknown" for a key that has not been looked up. A caller that is told
 * "not run" may send the work under a new key. A daemon that has just started refuses a retry
 * before it knows the key, although the first attempt ran elsewhere: the work would run twice.
 */
function withUnknownOutcomeBeforeKeyLookup(
  error: RequestError,
  inFlight: InFlightRequest,
): RequestError {
  const isCertain =
    error.run !== RequestExecution.NotRun || inFlight.isKeyLookedUp;
  if (isCertain || !TRANSIENT_REFUSALS.has(error.kind)) return error;
  if (!isKeyed(inFlight.request)) return error;
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
