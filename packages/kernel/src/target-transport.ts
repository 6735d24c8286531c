import type {Readable} from 'node:stream';

/** A target as the transport needs it. */
export interface TargetAddress {
  /** VM id. */
  readonly id: string;
  /** IP number and port. */
  readonly address: string;
}

/** A request on its way to a target. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn, hop-by-hop headers already taken out. */
  readonly headers: readonly string[];
  /** Null for a request without a body. */
  readonly body: Readable | null;
  readonly idempotent: boolean;
  /** Longest time from dispatch to the head of the answer, in milliseconds. */
  readonly headMilliseconds: number;
}

/** Takes an answer as it comes. */
export interface AnswerSink {
  onHead(status: number, headers: readonly string[]): void;
  /** False asks the transport to pause until `resume`. */
  onData(chunk: Buffer): boolean;
  onEnd(trailers: readonly string[]): void;
}

/** How an exchange ended. */
export enum ExchangeEnd {
  /** The whole answer was handed to the sink. */
  Whole = 'whole',
  /** Ended before any byte of the request went out. */
  NotSent = 'not_sent',
  /** The connection broke, or the answer was malformed, after bytes went out. */
  Broken = 'broken',
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
  begin(
    target: TargetAddress,
    request: OutgoingRequest,
    sink: AnswerSink,
  ): Exchange;
}
