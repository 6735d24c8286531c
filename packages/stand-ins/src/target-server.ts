import http from 'node:http';
import {closeServer, listen} from './http-listener.js';

/** Faults of a target, switched on by name. */
export enum TargetFault {
  /** Every request fails at once with 500. */
  FailEverything = 'fail_everything',
  /** Every request is refused with 503 and `gentiandoor-run: no`. */
  Busy = 'busy',
  /** Requests are taken and never answered. */
  Silent = 'silent',
  /** Answers break off in the middle. */
  Truncated = 'truncated',
  /** Answers say that the target is leaving. */
  Leaving = 'leaving',
}

/** A request that a target ran. */
export interface ExecutedRequest {
  readonly method: string;
  readonly path: string;
  readonly key: string | undefined;
  readonly body: string;
}

const HALF_OF_ANSWER_BYTES = 1000;

/** A VM's service: answers after a latency, counts what it ran. */
export class TargetServer {
  readonly faults = new Set<TargetFault>();
  readonly executedRequests: ExecutedRequest[] = [];
  /** False for long loads, whose runs would fill the memory. */
  recordsRequests = true;
  /** Told of each request that this target runs. */
  onRun: (run: ExecutedRequest) => void = () => undefined;
  latencyMilliseconds = 0;
  address = '';
  private readonly server: http.Server;

  constructor(readonly id: string) {
    this.server = http.createServer((request, response) => {
      void this.answer(request, response);
    });
  }

  async start(address: string): Promise<void> {
    this.address = await listen(this.server, address);
  }

  stop(): Promise<void> {
    return closeServer(this.server);
  }

  private async answer(
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
    const run = {
      method: request.method ?? '',
      path: request.url ?? '',
      key: typeof key === 'string' ? key : undefined,
      body: Buffer.concat(chunks).toString('utf8'),
    };
    this.onRun(run);
    if (this.recordsRequests) this.executedRequests.push(run);
    if (this.faults.has(TargetFault.Silent)) return;
    if (this.faults.has(TargetFault.FailEverything)) {
      response.writeHead(500).end('failed');
      return;
    }
    if (this.faults.has(TargetFault.Truncated)) {
      response.writeHead(200, {
        'content-length': String(2 * HALF_OF_ANSWER_BYTES),
      });
      response.write('x'.repeat(HALF_OF_ANSWER_BYTES), () =>
        response.destroy(),
      );
      return;
    }
    // A timer of 0 ms takes 1 ms, which would hide what the path itself costs.
    if (this.latencyMilliseconds === 0) this.answerWhole(request, response);
    else {
      setTimeout(
        () => this.answerWhole(request, response),
        this.latencyMilliseconds,
      );
    }
  }

  private answerWhole(
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
