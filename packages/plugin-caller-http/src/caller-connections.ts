import type {Socket} from 'node:net';
import {ErrorKind, RequestError, type Clock} from '@gentiandoor/kernel';
import {abortResponse, rawErrorResponse} from './error-response.js';
import type {InFlightRequest} from './request-handler.js';

/** Time a caller gets to read its response while the rest of its request is discarded. */
const LINGERING_CLOSE_MILLISECONDS = 2000;

/** Counts of the requests that a stop at this moment would abort. */
export interface InFlightRequestCounts {
  readonly requests: number;
  /** Those among them that a caller cannot safely retry without an idempotency key. */
  readonly nonIdempotent: number;
}

/** Tracks callers' connections and the in-flight requests on each, in order of arrival. */
export class CallerConnections {
  private readonly requestsBySocket = new Map<Socket, Set<InFlightRequest>>();

  constructor(private readonly clock: Clock) {}

  /** Counts of the in-flight requests on all connections. */
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

  /** Aborts the responses of all in-flight requests. */
  abortAllResponses(): void {
    for (const {response} of this.inFlightRequests()) abortResponse(response);
  }

  /** Returns whether this is the latest request on its connection so far. */
  isLast(item: InFlightRequest): boolean {
    const items = this.requestsBySocket.get(item.request.socket);
    return items !== undefined && [...items].at(-1) === item;
  }

  /**
   * Notifies all in-flight requests on a connection that it has closed. A response object
   * reports this only when it is the next to be sent: pipelined requests behind it would continue.
   */
  onConnectionClosed(socket: Socket): void {
    for (const item of this.requestsBySocket.get(socket) ?? [])
      item.responseWriter?.onConnectionClosed();
  }

  /**
   * Returns whether the connection closes after an earlier response. A pipelined request that
   * follows it could be run without ever getting a response, so it is not started at all.
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
   * Handles a connection that cannot be read any further: malformed input, or a request that
   * arrived too slowly. The error belongs to the request that is incomplete. A raw error response
   * would be taken for the response of another request in flight, so it is written only to a
   * connection that has none. Returns the error that was sent as a raw response, if any.
   */
  failConnection(error: Error, socket: Socket): RequestError | undefined {
    // The caller reset the connection: nobody is left to respond to, and its close event ends the
    // requests.
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

  /** Writes an error response to a connection that has no response object, and closes it. */
  respondAndClose(socket: Socket, error: RequestError): void {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    socket.write(rawErrorResponse(error));
    this.lingeringClose(socket);
  }

  /**
   * Closes only this side's half of the connection and keeps reading for a while. Closing a socket
   * with unread bytes resets it, and the caller may lose a response that is already in transit.
   */
  private lingeringClose(socket: Socket): void {
    socket.end();
    socket.resume();
    this.scheduleDestroy(socket);
  }

  /** Discards the rest of a request that got its response early, as for a body over the limit. */
  private discardRemainingBody({request, bodyReader}: InFlightRequest): void {
    const detail = 'the response ended before the whole request was read';
    bodyReader?.fail(new RequestError(ErrorKind.CallerGone, detail));
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
      `the request's ${part} did not arrive in time`,
    );
  }
  return new RequestError(ErrorKind.BadRequest, error.message);
}
