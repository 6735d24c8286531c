import net from 'node:net';
import {build, type Histogram} from 'hdr-histogram-js';
import {splitAddress} from '@gentiandoor/kernel';

const MICROSECONDS = 1000;
const HEAD_END = '\r\n\r\n';
const CONTENT_LENGTH = /content-length: (\d+)/i;
const LAST_CHUNK = '0\r\n\r\n';
const OK = 'HTTP/1.1 200';

/** Measured result of a load. */
export interface LoadResult {
  readonly requestsPerSecond: number;
  readonly answered: number;
  /** Responses other than 200, and connections that closed during a request. */
  readonly failed: number;
  /** Latencies in microseconds. */
  readonly latencies: Histogram;
}

/** The request to send and the size of the load. */
export interface LoadPlan {
  readonly address: string;
  readonly connections: number;
  /** One serialised request. */
  readonly request: string;
  /** Total requests; the load ends at this count or after `milliseconds`, whichever comes first. */
  readonly requests?: number;
  readonly milliseconds?: number;
}

/** Sends requests one after another on each of several keep-alive connections. */
export async function runClosedLoop(plan: LoadPlan): Promise<LoadResult> {
  const load = new ClosedLoop(plan);
  return load.run();
}

class ClosedLoop {
  private readonly latencies = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  private started = 0;
  private failed = 0;
  private end = Infinity;

  constructor(private readonly plan: LoadPlan) {}

  async run(): Promise<LoadResult> {
    const {connections, milliseconds = Infinity} = this.plan;
    const start = performance.now();
    this.end = start + milliseconds;
    await Promise.all(
      Array.from({length: connections}, () => this.runConnection()),
    );
    const seconds = (performance.now() - start) / MICROSECONDS;
    const answered = this.latencies.totalCount;
    return {
      requestsPerSecond: answered / seconds,
      answered,
      failed: this.failed,
      latencies: this.latencies,
    };
  }

  private get isOver(): boolean {
    const {requests = Infinity} = this.plan;
    return this.started >= requests || performance.now() >= this.end;
  }

  /** Uses callbacks on a plain socket: the load must cost far less than what it measures. */
  private runConnection(): Promise<void> {
    return new Promise(resolve => {
      const {host, port} = splitAddress(this.plan.address);
      const socket = net.connect({host, port, noDelay: true});
      let unread = '';
      let sentAt = 0;
      let waiting = false;
      const next = () => {
        if (this.isOver) {
          socket.end();
          return;
        }
        this.started++;
        waiting = true;
        sentAt = performance.now();
        socket.write(this.plan.request, 'latin1');
      };
      socket.on('connect', next);
      socket.on('data', chunk => {
        unread += chunk.toString('latin1');
        if (!isComplete(unread)) return;
        if (!unread.startsWith(OK)) this.failed++;
        unread = '';
        waiting = false;
        const micros = (performance.now() - sentAt) * MICROSECONDS;
        this.latencies.recordValue(Math.max(1, Math.round(micros)));
        next();
      });
      socket.on('error', () => {});
      socket.on('close', () => {
        if (waiting) this.failed++;
        resolve();
      });
    });
  }
}

function isComplete(bytes: string): boolean {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return false;
  const start = headEnd + HEAD_END.length;
  const length = CONTENT_LENGTH.exec(bytes.slice(0, start));
  if (length) return bytes.length >= start + Number(length[1]);
  return bytes.endsWith(LAST_CHUNK);
}
