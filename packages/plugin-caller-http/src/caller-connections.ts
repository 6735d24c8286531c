import type {Socket} from 'node:net';
import {ErrorKind, RequestError, type Clock} from '@gentiandoor/kernel';
import {cutAnswer, rawErrorAnswer} from './error-answer.js';
import type {RequestUnderWay} from './request-handler.js';

/** Time for a caller to read its answer while the rest of its request is thrown away. */
const LINGER_MILLISECONDS = 2000;

/** What a stop would cut. */
export interface UnfinishedRequests {
  readonly requests: number;
  /** Those among them that a caller cannot safely send again without a key. */
  readonly nonIdempotent: number;
}

/** Callers' connections with the requests under way on each, in order. */
export class CallerConnections {
  private readonly underWay = new Map<Socket, Set<RequestUnderWay>>();

  constructor(private readonly clock: Clock) {}

  /** Requests under way. */
  get unfinished(): UnfinishedRequests {
    let requests = 0;
    let nonIdempotent = 0;
    for (const item of this.all()) {
      requests++;
      if (item.idempotent === false) nonIdempotent++;
    }
    return {requests, nonIdempotent};
  }

  enter(item: RequestUnderWay): void {
    const {socket} = item.request;
    const items = this.underWay.get(socket);
    if (items) items.add(item);
    else this.underWay.set(socket, new Set([item]));
  }

  /** Cuts all answers that are under way. */
  cutAll(): void {
    for (const {response} of this.all()) cutAnswer(response);
  }

  /** Whether no request came after this one on its connection, so far. */
  isLast(item: RequestUnderWay): boolean {
    const items = this.underWay.get(item.request.socket);
    return items !== undefined && [...items].at(-1) === item;
  }

  /**
   * Tells all requests under way on a connection that it has closed. A response object
   * says so only when it is the next to go out: pipelined requests behind it would go on.
   */
  closed(socket: Socket): void {
    for (const item of this.underWay.get(socket) ?? [])
      item.caller?.connectionClosed();
  }

  /**
   * Whether the connection closes behind an earlier answer. A pipelined request that is
   * read after that could be run and never answered, so it is not begun at all.
   */
  comesTooLate(item: RequestUnderWay): boolean {
    for (const earlier of this.underWay.get(item.request.socket) ?? []) {
      if (earlier === item) return false;
      if (earlier.isClosing) return true;
    }
    return false;
  }

  leave(item: RequestUnderWay): void {
    const {socket} = item.request;
    const items = this.underWay.get(socket);
    items?.delete(item);
    if (items?.size === 0) this.underWay.delete(socket);
    if (!item.request.complete) this.throwAwayRest(item);
  }

  /**
   * A connection that can be read no further: malformed input, or a request that came too
   * slowly. The error belongs to the request that is not complete. A raw answer while
   * another request is under way would be taken for that request's answer, so it is
   * written only to a connection that has none. Returns what was answered that way.
   */
  fail(error: Error, socket: Socket): RequestError | undefined {
    // The caller reset the connection: nobody is left to answer, and its close says the rest.
    if (socket.destroyed) return undefined;
    const items = [...(this.underWay.get(socket) ?? [])];
    const refusal = refusalOf(error, items.length > 0);
    const incomplete = items.find(item => !item.request.complete);
    if (incomplete) {
      incomplete.isClosing = true;
      incomplete.response.shouldKeepAlive = false;
      incomplete.fail(refusal);
      return undefined;
    }
    const last = items.at(-1);
    if (!last) {
      this.answerAndClose(socket, refusal);
      return refusal;
    }
    last.isClosing = true;
    last.response.shouldKeepAlive = false;
    last.response.once('finish', () => this.closeSoon(socket));
    return undefined;
  }

  /** Answers on a connection without a response object, and closes it. */
  answerAndClose(socket: Socket, error: RequestError): void {
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    socket.write(rawErrorAnswer(error));
    this.closeSoon(socket);
  }

  /**
   * Closing a socket with unread bytes resets it, and the caller may lose an answer that
   * is already on its way. So only this side's half is closed, and the rest is read for a while.
   */
  private closeSoon(socket: Socket): void {
    socket.end();
    socket.resume();
    this.destroyLater(socket);
  }

  /** An answer came before its request had ended, as for a body over the limit. */
  private throwAwayRest({request, reader}: RequestUnderWay): void {
    const detail = 'the request has its answer';
    reader?.fail(new RequestError(ErrorKind.CallerGone, detail));
    request.removeAllListeners('readable');
    request.resume();
    const timer = this.clock.schedule(LINGER_MILLISECONDS, () =>
      request.socket.destroy(),
    );
    const cancel = () => timer.cancel();
    request.once('end', cancel);
    request.socket.once('close', cancel);
  }

  private destroyLater(socket: Socket): void {
    const timer = this.clock.schedule(LINGER_MILLISECONDS, () =>
      socket.destroy(),
    );
    socket.once('close', () => timer.cancel());
  }

  private *all(): Generator<RequestUnderWay> {
    for (const items of this.underWay.values()) yield* items;
  }
}

const HEAD_TOO_LARGE = 'HPE_HEADER_OVERFLOW';
const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT';

function refusalOf(error: Error, withinBody: boolean): RequestError {
  const code = 'code' in error ? String(error.code) : '';
  if (code === HEAD_TOO_LARGE)
    return new RequestError(ErrorKind.HeadTooLarge, error.message);
  if (code === REQUEST_TIMEOUT) {
    const part = withinBody ? 'body' : 'head';
    return new RequestError(
      ErrorKind.BodyTimeout,
      `the request's ${part} did not come in time`,
    );
  }
  return new RequestError(ErrorKind.BadRequest, error.message);
}
