/** A target as the transport needs it. */
export interface TargetAddress {
  /** VM id. */
  readonly id: string;
  /** IP number and port. */
  readonly address: string;
  /** Connections that this daemon may hold to the target; the setting's value when undefined. */
  readonly connections?: number;
}

/** A request's body: whole, or as a stream that can be sent once; null for none. */
export type OutgoingBody = Uint8Array | AsyncIterable<Uint8Array> | null;

/** A request on its way to a target. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, hop-by-hop headers already taken out. */
  readonly headers: readonly string[];
  readonly body: OutgoingBody;
  readonly idempotent: boolean;
  /** Longest time from dispatch to the head of the answer, in milliseconds. */
  readonly responseHeadTimeoutMilliseconds: number;
}

/** Takes an answer as it comes. */
export interface ResponseSink {
  onHead(status: number, headers: readonly string[]): void;
  /** False asks the transport to pause until `resume`. */
  onData(chunk: Buffer): boolean;
  onEnd(trailers: readonly string[]): void;
}

/** How an exchange ended. */
export enum ExchangeEnd {
  /** The whole answer was handed to the sink. */
  Complete = 'whole',
  /** Ended before any byte of the request went out. */
  NotSent = 'not_sent',
  /** The connection broke after bytes went out and before a head came. */
  ConnectionLost = 'broken',
  /** The target sent what is no HTTP answer, or one whose end cannot be told. */
  Malformed = 'malformed',
  /** No head of an answer in time. */
  TimedOut = 'timed_out',
  /** The answer began and broke off. */
  Truncated = 'truncated',
  /** The caller's side gave up. */
  Aborted = 'aborted',
}

/** The result of one exchange with a target. */
export interface ExchangeResult {
  readonly end: ExchangeEnd;
  readonly error?: Error;
}

/** One exchange under way. */
export interface Exchange {
  /** Resolves once, when the connection is free again or destroyed. */
  readonly done: Promise<ExchangeResult>;
  /** Goes on after `onData` said false. */
  resume(): void;
  /** Gives the exchange up and destroys its connection. */
  abort(): void;
}

/** Carries requests to targets: one exchange a connection at a time, never resent. */
export interface TargetTransport {
  startExchange(
    target: TargetAddress,
    request: OutgoingRequest,
    sink: ResponseSink,
  ): Exchange;
}
