import {
  SilentLogger,
  SystemClock,
  type ResponseSink,
  type Clock,
  type Exchange,
  type ExchangeResult,
  type OutgoingRequest,
} from '@gentiandoor/kernel';
import {HttpTargetTransport} from '../http-target-transport.js';
import {targetHttpOptions} from '../target-http-options.js';

const LONG_MILLISECONDS = 60_000;

/** Collects a response as received. */
export class CollectingSink implements ResponseSink {
  status = 0;
  headers: readonly string[] = [];
  body = '';
  trailers: readonly string[] = [];
  ended = false;

  onHead(status: number, headers: readonly string[]): void {
    this.status = status;
    this.headers = headers;
  }

  onData(chunk: Buffer): boolean {
    this.body += chunk.toString('latin1');
    return true;
  }

  onEnd(trailers: readonly string[]): void {
    this.ended = true;
    this.trailers = trailers;
  }
}

/** Returns a request with defaults for the parts that a test does not set. */
export function outgoingRequest(
  parts: Partial<OutgoingRequest> = {},
): OutgoingRequest {
  return {
    method: 'GET',
    path: '/x',
    headers: [],
    body: null,
    idempotent: parts.method === undefined,
    responseHeadTimeoutMilliseconds: LONG_MILLISECONDS,
    ...parts,
  };
}

/** A non-idempotent request: it must not run twice. */
export const POST = outgoingRequest({
  method: 'POST',
  body: Buffer.from('crest'),
  idempotent: false,
});

/** The exchange of one request, its result and the collected response. */
export interface SendResult {
  readonly exchange: Exchange;
  readonly result: ExchangeResult;
  readonly sink: CollectingSink;
}

/** Runs the transport with test settings and sends requests to an address. */
export class TransportFixture {
  readonly transport: HttpTargetTransport;

  constructor(settings: Record<string, number> = {}, clock?: Clock) {
    this.transport = new HttpTargetTransport({
      clock: clock ?? new SystemClock(),
      logger: new SilentLogger(),
      targetHttpOptions: targetHttpOptions.parse(settings),
    });
  }

  async send(
    address: string,
    request: OutgoingRequest,
    connections?: number,
  ): Promise<SendResult> {
    const sink = new CollectingSink();
    const target = {id: 'hall-a-r1-1', address, connections};
    const exchange = this.transport.startExchange(target, request, sink);
    return {exchange, result: await exchange.done, sink};
  }

  stop(): Promise<void> {
    return this.transport.stop();
  }
}
