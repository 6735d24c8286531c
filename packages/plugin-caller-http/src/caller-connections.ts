import type {Socket} from 'node:net';
import {ErrorKind, RequestError, type Clock} from '@gentiandoor/kernel';
import {abortResponse, rawErrorResponse} from './error-response.js';
import type {InFlightRequest} from './request-handler.js';

/** Time for a caller to read its answer while the rest of its request is thrown away. */
const LINGERING_CLOSE_MILLISECONDS = 2000;

/** What a stop would cut. */
export interface InFlightRequestCounts {
  readonly requests: number;
  /** Those among them that a caller cannot safely send again without a key. */
  readonly nonIdempotent: number;
}

/** Callers' connections with the requests under way on each, in order. */
export class CallerConnections {
  private readonly requestsBySocket = new Map<Socket, Set<InFlightRequest>>();

  constructor(private readonly clock: Clock) {}

  /** Requests under way. */
  get inFlightCounts(): InFlightRequestCounts {
    let requests = 0;
    let nonIdempotent = 0;
    for (const item of this.inFlightRequests()) {
      requests++;
      if (item.idempotent === false) nonIdempotent++;
    }
    return {requests, nonIdempotent};
  }

  add(item: InFlightRequest): void {
    const {socket} = item.request;
    const items = this.requestsBySocket.get(socket);
    if (items) items.add(item);
    else this.requestsBySocket.set(socket, new Set([item]));
  }

  /** Cuts all answers that are under way. */
  abortAllResponses(): void {
    for (const {response} of this.inFlightRequests()) abortResponse(response);
  }

  /** Whether no request came after this one on its connection, so far. */
  isLast(item: InFlightRequest): boolean {
    const items = this.requestsBySocket.get(item.request.socket);
    return items !== undefined && [...items].at(-1) === item;
  }

  /**
   * Tells all requests under way on a connection that it has closed. A response object
   * says so only when it is the next to go out: pipelined requests behind it would go on.
   */
  onConnectionClosed(socket: Socket): void {
    for (const item of this.requestsBySocket.get(socket) ?? [])
      item.responseWriter?.onConnectionClosed();
  }

  /**
   * Whether the connection closes behind an earlier answer. A pipelined request that is
   * read after that could be run and never answered, so it is not begun at all.
   */
  followsClosingResponse(item: InFlightRequest): boolean {
    for (const earlier of this.requestsBySocket.get(item.request.socket) ??
      []) {
      if (earlier === item) return false;
      if (earlier.isConnectionClosing) return true;
    }
    return false;
  }

  remove(item: InFlightRequest): void {
    const {socket} = item.request;
    const items = this.requestsBySocket.get(socket);
    items?.delete(item);
    if (items?.size === 0) this.requestsBySocket.delete(socket);
    if (!item.request.complete) this.discardRemainingBody(item);
  }

  /**
   * A connection that can be read no further: malformed input, or a request that came too
   * slowly. The error belongs to the request that is not complete. A raw answer while
   * another request is under way would be taken for that request's answer, so it is
   * written only to a connection that has none. Returns what was answered that way.
   */
  failConnection(error: Error, socket: Socket): RequestError | undefined {
    // The caller reset the connection: nobody is left to answer, and its close says the rest.
    if (socket.destroyed) return undefined;
    const items = [...(this.requestsBySocket.get(socket) ?? [])];
    const refusal = toClientRequestError(error, items.length > 0);
    const incomplete = items.find(item => !item.request.complete);
    if (incomplete) {
      incomplete.isConnectionClosing = true;
      incomplete.response.shouldKeepAlive = false;
      incomplete.fail(refusal);
      return undefined;
    }
    const last = items.at(-1);
    if (!last) {
      this.respondAndClose(socket, refusal);
      return refusal;
    }
    last.isConnectionClosing = true;
    last.response.shouldKeepAlive = false;
    last.response.once('finish', () => this.lingeringClose(socket));
    return undefined;
  }

  /** Answers on a connection without a response object, and closes it. */
  respondAndClose(socket: Socket, error: RequestError): void {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    socket.write(rawErrorResponse(error));
    this.lingeringClose(socket);
  }

  /**
   * Closing a socket with unread bytes resets it, and the caller may lose an answer that
   * is already on its way. So only this side's half is closed, and the rest is read for a while.
   */
  private lingeringClose(socket: Socket): void {
    socket.end();
    socket.resume();
    this.scheduleDestroy(socket);
  }

  /** An answer came before its request had ended, as for a body over the limit. */
  private discardRemainingBody({
    request,
    bodyReader: reader,
  }: InFlightRequest): void {
    const detail = 'the request has its answer';
    reader?.fail(new RequestError(ErrorKind.CallerGone, detail));
    request.removeAllListeners('readable');
    request.resume();
    const timer = this.clock.schedule(LINGERING_CLOSE_MILLISECONDS, () =>
      request.socket.destroy(),
    );
    const cancel = () => timer.cancel();
    request.once('end', cancel);
    request.socket.once('close', cancel);
  }

  private scheduleDestroy(socket: Socket): void {
    const timer = this.clock.schedule(LINGERING_CLOSE_MILLISECONDS, () =>
      socket.destroy(),
    );
    socket.once('close', () => timer.cancel());
  }

  private *inFlightRequests(): Generator<InFlightRequest> {
    for (const items of this.requestsBySocket.values()) yield* items;
  }
}

const HEAD_TOO_LARGE_CODE = 'HPE_HEADER_OVERFLOW';
const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

function toClientRequestError(error: Error, withinBody: boolean): RequestError {
  const code = 'code' in error ? String(error.code) : '';
  if (code === HEAD_TOO_LARGE_CODE)
    return new RequestError(ErrorKind.HeadTooLarge, error.message);
  if (code === REQUEST_TIMEOUT_CODE) {
    const part = withinBody ? 'body' : 'head';
    return new RequestError(
      ErrorKind.BodyTimeout,
      `the request's ${part} did not come in time`,
    );
  }
  return new RequestError(ErrorKind.BadRequest, error.message);
}
