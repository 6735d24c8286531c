/** Address of a target, with its connection limit. */
export interface TargetAddress {
  /** VM id. */
  readonly id: string;
  /** IP address and port. */
  readonly address: string;
  /** Maximum connections from this daemon to the target; undefined uses the setting's value. */
  readonly connections?: number;
}

/** A request body: complete, or a stream that can be sent only once; null for none. */
export type OutgoingBody = Uint8Array | AsyncIterable<Uint8Array> | null;

/** A request to be sent to a target. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values, with hop-by-hop headers already removed. */
  readonly headers: readonly string[];
  readonly body: OutgoingBody;
  readonly idempotent: boolean;
  /** Timeout from dispatch to the response head, in milliseconds. */
  readonly responseHeadTimeoutMilliseconds: number;
}

/** Receives a response as it arrives. */
export interface ResponseSink {
  onHead(status: number, headers: readonly string[]): void;
  /** Returns false to pause the transport until `resume` is called. */
  onData(chunk: Buffer): boolean;
  onEnd(trailers: readonly string[]): void;
}

/** How an exchange ended. */
export enum ExchangeEnd {
  /** The complete response was passed to the sink. */
  Complete = 'whole',
  /** Ended before any byte of the request was sent. */
  NotSent = 'not_sent',
  /** The connection was lost after bytes were sent and before a response head arrived. */
  ConnectionLost = 'broken',
  /** The target sent no valid HTTP response, or one whose end cannot be determined. */
  Malformed = 'malformed',
  /** No response head arrived within the timeout. */
  TimedOut = 'timed_out',
  /** The response started but was cut off. */
  Truncated = 'truncated',
  /** The caller's side aborted the exchange. */
  Aborted = 'aborted',
}

/** The result of one exchange with a target. */
export interface ExchangeResult {
  readonly end: ExchangeEnd;
  readonly error?: Error;
}

/** An exchange in progress. */
export interface Exchange {
  /** Resolves when the connection is free again or destroyed. */
  readonly done: Promise<ExchangeResult>;
  /** Resumes after `onData` returned false. */
  resume(): void;
  /** Aborts the exchange and destroys its connection. */
  abort(): void;
}

/** Sends requests to targets: one exchange at a time per connection, and never a second time. */
export interface TargetTransport {
  startExchange(
    target: TargetAddress,
    request: OutgoingRequest,
    sink: ResponseSink,
  ): Exchange;
}
