import net from 'node:net';
import {splitAddress} from '@gentiandoor/kernel';
import type {CallerRequest} from '../caller.js';
import type {CallerOutcome} from '../guarantee-checker.js';

const HEAD_END = '\r\n\r\n';

/** The outcome of a request with its latency. */
export interface TimedOutcome extends CallerOutcome {
  readonly milliseconds: number;
}

interface RawResponse {
  readonly status: number;
  readonly head: string;
  readonly body: string;
}

/**
 * A caller with one keep-alive connection at a time. It never retries: a lost response is recorded
 * as cut. A connection that cannot be opened has sent nothing and is not counted.
 */
export class KeepAliveCaller {
  private socket: net.Socket | undefined;

  /** `pick` returns the address for a new connection. */
  constructor(private readonly pickAddress: () => string | undefined) {}

  /**
   * Sends a request; resolves with undefined if no connection could be opened and nothing was sent.
   */
  async send(request: CallerRequest): Promise<TimedOutcome | undefined> {
    const socket = await this.connect();
    if (!socket) return undefined;
    const start = performance.now();
    const response = await exchange(socket, serializeRequest(request));
    const milliseconds = performance.now() - start;
    if (!response || announcesClose(response)) this.close();
    return {...toOutcome(request, response), milliseconds};
  }

  close(): void {
    this.socket?.destroy();
    this.socket = undefined;
  }

  private async connect(): Promise<net.Socket | undefined> {
    const open = this.socket;
    if (open && !open.destroyed && open.readyState === 'open') return open;
    const address = this.pickAddress();
    if (address === undefined) return undefined;
    const {host, port} = splitAddress(address);
    const socket = net.connect({host, port, noDelay: true});
    socket.on('error', () => {});
    const opened = await new Promise<boolean>(resolve => {
      socket.once('connect', () => resolve(true));
      socket.once('close', () => resolve(false));
    });
    this.socket = opened ? socket : undefined;
    return this.socket;
  }
}

/** Resolves with the complete response, or undefined when the connection closed before. */
function exchange(
  socket: net.Socket,
  bytes: string,
): Promise<RawResponse | undefined> {
  return new Promise(resolve => {
    let unread = '';
    const finish = (response: RawResponse | undefined) => {
      socket.off('data', onData);
      socket.off('close', onClose);
      resolve(response);
    };
    const onData = (chunk: Buffer) => {
      unread += chunk.toString('latin1');
      const response = parseResponse(unread);
      if (response) finish(response);
    };
    const onClose = () => finish(undefined);
    socket.on('data', onData);
    socket.on('close', onClose);
    socket.write(bytes, 'latin1');
  });
}

function parseResponse(bytes: string): RawResponse | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const head = bytes.slice(0, headEnd);
  const start = headEnd + HEAD_END.length;
  const length = Number(findHeader(head, 'content-length') ?? 0);
  if (bytes.length < start + length) return undefined;
  const body = bytes.slice(start, start + length);
  return {status: Number(head.split(' ', 2)[1]), head, body};
}

function toOutcome(
  request: CallerRequest,
  response: RawResponse | undefined,
): CallerOutcome {
  const {id, service} = request;
  const idempotent = request.method === 'GET';
  const base = {id, service, idempotent};
  if (!response) {
    const reason = 'cut';
    return {
      ...base,
      status: 0,
      reason,
      run: '',
      isComplete: false,
      mixed: false,
    };
  }
  const {status, head, body} = response;
  const reason = findHeader(head, 'gentiandoor-reason') ?? '';
  const run = findHeader(head, 'gentiandoor-run') ?? '';
  const isOwnResponse = reason === '' && body.includes(`"/${service}/${id}"`);
  const mixed = reason === '' && !isOwnResponse;
  return {...base, status, reason, run, isComplete: isOwnResponse, mixed};
}

function serializeRequest({
  id,
  service,
  method,
  body = '',
}: CallerRequest): string {
  const lines = [`${method} /${service}/${id} HTTP/1.1`, 'host: desk.example'];
  if (method === 'POST') lines.push(`content-length: ${body.length}`);
  return [...lines, '', body].join('\r\n');
}

function announcesClose({head}: RawResponse): boolean {
  return findHeader(head, 'connection')?.toLowerCase() === 'close';
}

function findHeader(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1];
}
