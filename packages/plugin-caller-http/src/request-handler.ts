import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  ERROR_ANSWERS,
  ErrorKind,
  ExchangeEnd,
  LogEvent,
  MetricName,
  RequestError,
  RunOutcome,
  toError,
  type AnswerSink,
  type Clock,
  type DrainState,
  type ExchangeResult,
  type Logger,
  type Metrics,
  type OutgoingRequest,
  type TargetTransport,
} from '@gentiandoor/kernel';
import type {ServiceEntry} from '@gentiandoor/shared-state';
import {stripHopByHop} from './headers.js';
import type {HeldSlot, ServiceRouter} from './service-router.js';

/** Header that tells the caller whether the request was run: no, unknown or yes. */
export const RUN_HEADER = 'gentiandoor-run';
/** Header that gives the error kind. */
export const REASON_HEADER = 'gentiandoor-reason';

const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

/** What a request needs. */
export interface RequestHandlerDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly drainState: DrainState;
  readonly serviceRouter: ServiceRouter;
  readonly targetTransport: TargetTransport;
}

/** Takes one request from its head to the end of its answer. */
export class RequestHandler {
  constructor(private readonly dependencies: RequestHandlerDependencies) {}

  /** Never throws: whatever happens, the caller is answered or cut off. */
  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {metrics} = this.dependencies;
    try {
      await this.serve(request, response);
    } catch (error) {
      const refusal = toRequestError(error);
      metrics.increment(MetricName.Refusals, {reason: refusal.kind});
      this.log(refusal);
      answerError(response, refusal);
    }
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {drainState, serviceRouter, metrics} = this.dependencies;
    if (drainState.isDraining) response.setHeader('connection', 'close');
    const name = serviceName(request.url ?? '/');
    const service = serviceRouter.service(name);
    const slot = await serviceRouter.acquire(name);
    try {
      const result = await this.exchange(request, response, service, slot);
      if (result.end !== ExchangeEnd.Whole) throw failureOf(result);
      metrics.increment(MetricName.Requests, {service: name});
    } finally {
      slot.release();
    }
  }

  private exchange(
    request: IncomingMessage,
    response: ServerResponse,
    service: ServiceEntry,
    slot: HeldSlot,
  ): Promise<ExchangeResult> {
    const sink = new ResponseSink(response);
    const exchange = this.dependencies.targetTransport.begin(
      slot,
      toOutgoing(request, service),
      sink,
    );
    response.on('drain', () => exchange.resume());
    response.on('close', () => {
      if (!response.writableFinished) exchange.abort();
    });
    return exchange.done;
  }

  private log(error: RequestError): void {
    const {logger} = this.dependencies;
    if (error.kind === ErrorKind.Internal) {
      logger.error(LogEvent.RequestInternalError, {error: error.message});
    } else {
      logger.debug(LogEvent.RequestFailed, {
        kind: error.kind,
        detail: error.message,
      });
    }
  }
}

/** Writes a target's answer to the caller as it comes. */
class ResponseSink implements AnswerSink {
  constructor(private readonly response: ServerResponse) {}

  onHead(status: number, headers: readonly string[]): void {
    const kept = stripHopByHop(headers);
    kept.push(RUN_HEADER, RunOutcome.Run);
    this.response.writeHead(status, kept);
  }

  onData(chunk: Buffer): boolean {
    return this.response.write(chunk);
  }

  onEnd(): void {
    this.response.end();
  }
}

function toOutgoing(
  request: IncomingMessage,
  service: ServiceEntry,
): OutgoingRequest {
  const method = request.method ?? 'GET';
  return {
    method,
    path: request.url ?? '/',
    headers: stripHopByHop(request.rawHeaders),
    body: hasBody(request) ? request : null,
    idempotent: IDEMPOTENT_METHODS.has(method),
    headMilliseconds: service.deadlineMilliseconds,
  };
}

function hasBody(request: IncomingMessage): boolean {
  const length = request.headers['content-length'];
  if (request.headers['transfer-encoding'] !== undefined) return true;
  return length !== undefined && length !== '0';
}

/** The first part of the path names the service. */
function serviceName(url: string): string {
  const [path] = url.split('?', 1);
  return path.split('/')[1] ?? '';
}

const KIND_OF_END: Readonly<Record<ExchangeEnd, ErrorKind>> = {
  [ExchangeEnd.Whole]: ErrorKind.Internal,
  [ExchangeEnd.NotSent]: ErrorKind.TargetUnreachable,
  [ExchangeEnd.Broken]: ErrorKind.TargetFailed,
  [ExchangeEnd.TimedOut]: ErrorKind.TargetTimeout,
  [ExchangeEnd.Truncated]: ErrorKind.AnswerTruncated,
  [ExchangeEnd.Aborted]: ErrorKind.CallerGone,
};

function failureOf(result: ExchangeResult): RequestError {
  const kind = KIND_OF_END[result.end];
  return new RequestError(kind, result.error?.message ?? result.end, {
    cause: result.error,
  });
}

function toRequestError(thrown: unknown): RequestError {
  if (thrown instanceof RequestError) return thrown;
  const error = toError(thrown);
  return new RequestError(ErrorKind.Internal, error.stack ?? error.message, {
    cause: error,
  });
}

function answerError(response: ServerResponse, error: RequestError): void {
  if (response.headersSent) {
    // Part of an answer is out: only a cut connection tells the caller that it is not whole.
    response.destroy();
    return;
  }
  const {status, advice} = ERROR_ANSWERS[error.kind];
  const body = JSON.stringify({
    error: error.kind,
    run: error.run,
    advice,
    detail: error.message,
  });
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.setHeader(RUN_HEADER, error.run);
  response.setHeader(REASON_HEADER, error.kind);
  if (error.retryAfterSeconds !== undefined) {
    response.setHeader('retry-after', String(error.retryAfterSeconds));
  }
  response.end(body);
}
