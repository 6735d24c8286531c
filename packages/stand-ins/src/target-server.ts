import http from 'node:http';
import {closeServer, listen} from './http-listener.js';

/** Faults of a target; tests add them to `faults`. */
export enum TargetFault {
  /** Every request fails immediately with 500. */
  FailEverything = 'fail_everything',
  /** Every request is refused with 503 and `gentiandoor-run: no`. */
  Busy = 'busy',
  /** Requests are read and never answered. */
  Silent = 'silent',
  /** Responses end in the middle of the body. */
  Truncated = 'truncated',
  /** Responses announce that the target is leaving. */
  Leaving = 'leaving',
}

/** A request that a target executed. */
export interface ExecutedRequest {
  readonly method: string;
  readonly path: string;
  readonly key: string | undefined;
  readonly body: string;
}

const HALF_RESPONSE_BYTES = 1000;

/** An HTTP service of a VM that responds after a latency and records executed requests. */
export class TargetServer {
  readonly faults = new Set<TargetFault>();
  readonly executedRequests: ExecutedRequest[] = [];
  /** Set to false for long loads, whose recorded requests would exhaust the memory. */
  recordsRequests = true;
  /** Called with each request that this target executes. */
  onRun: (run: ExecutedRequest) => void = () => undefined;
  latencyMilliseconds = 0;
  address = '';
  private readonly server: http.Server;

  constructor(readonly id: string) {
    this.server = http.createServer((request, response) => {
      void this.respond(request, response);
    });
  }

  async start(address: string): Promise<void> {
    this.address = await listen(this.server, address);
  }

  stop(): Promise<void> {
    return closeServer(this.server);
  }

  private async respond(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (this.faults.has(TargetFault.Busy)) {
      response
        .writeHead(503, {'gentiandoor-run': 'no', 'retry-after': '1'})
        .end();
      return;
    }
    const key = request.headers['idempotency-key'];
    const executed = {
      method: request.method ?? '',
      path: request.url ?? '',
      key: typeof key === 'string' ? key : undefined,
      body: Buffer.concat(chunks).toString('utf8'),
    };
    this.onRun(executed);
    if (this.recordsRequests) this.executedRequests.push(executed);
    if (this.faults.has(TargetFault.Silent)) return;
    if (this.faults.has(TargetFault.FailEverything)) {
      response.writeHead(500).end('failed');
      return;
    }
    if (this.faults.has(TargetFault.Truncated)) {
      response.writeHead(200, {
        'content-length': String(2 * HALF_RESPONSE_BYTES),
      });
      response.write('x'.repeat(HALF_RESPONSE_BYTES), () => response.destroy());
      return;
    }
    // A timer of 0 ms fires after 1 ms, which would hide the latency of the path itself.
    if (this.latencyMilliseconds === 0)
      this.respondCompletely(request, response);
    else {
      setTimeout(
        () => this.respondCompletely(request, response),
        this.latencyMilliseconds,
      );
    }
  }

  private respondCompletely(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    if (this.faults.has(TargetFault.Leaving)) {
      response.setHeader('connection', 'close');
      response.setHeader('gentiandoor-leaving', 'yes');
    }
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({target: this.id, path: request.url}));
  }
}
