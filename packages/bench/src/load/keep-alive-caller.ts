import net from 'node:net';
import {splitAddress} from '@gentiandoor/kernel';
import type {CallerRequest} from '../caller.js';
import type {CallerOutcome} from '../guarantee-checker.js';

const HEAD_END = '\r\n\r\n';

/** What was seen of one request, with the time it took. */
export interface TimedOutcome extends CallerOutcome {
  readonly milliseconds: number;
}

interface RawAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: string;
}

/**
 * A caller on one kept connection at a time. It never sends a request again: what is cut, is
 * counted as cut. A connection that cannot be opened has carried nothing and is not counted.
 */
export class KeepAliveCaller {
  private socket: net.Socket | undefined;

  /** `pick` gives the address for a new connection. */
  constructor(private readonly pick: () => string | undefined) {}

  /** Undefined when no connection could be opened: nothing was sent. */
  async send(request: CallerRequest): Promise<TimedOutcome | undefined> {
    const socket = await this.connected();
    if (!socket) return undefined;
    const start = performance.now();
    const answer = await exchange(socket, bytesOf(request));
    const milliseconds = performance.now() - start;
    if (!answer || closes(answer)) this.close();
    return {...judge(request, answer), milliseconds};
  }

  close(): void {
    this.socket?.destroy();
    this.socket = undefined;
  }

  private async connected(): Promise<net.Socket | undefined> {
    const open = this.socket;
    if (open && !open.destroyed && open.readyState === 'open') return open;
    const address = this.pick();
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

/** Resolves with the whole answer, or undefined when the connection ended before. */
function exchange(
  socket: net.Socket,
  bytes: string,
): Promise<RawAnswer | undefined> {
  return new Promise(resolve => {
    let unread = '';
    const finish = (answer: RawAnswer | undefined) => {
      socket.off('data', onData);
      socket.off('close', onClose);
      resolve(answer);
    };
    const onData = (chunk: Buffer) => {
      unread += chunk.toString('latin1');
      const answer = wholeAnswer(unread);
      if (answer) finish(answer);
    };
    const onClose = () => finish(undefined);
    socket.on('data', onData);
    socket.on('close', onClose);
    socket.write(bytes, 'latin1');
  });
}

function wholeAnswer(bytes: string): RawAnswer | undefined {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const head = bytes.slice(0, headEnd);
  const start = headEnd + HEAD_END.length;
  const length = Number(headerOf(head, 'content-length') ?? 0);
  if (bytes.length < start + length) return undefined;
  const body = bytes.slice(start, start + length);
  return {status: Number(head.split(' ', 2)[1]), head, body};
}

function judge(
  request: CallerRequest,
  answer: RawAnswer | undefined,
): CallerOutcome {
  const {id, service} = request;
  const idempotent = request.method === 'GET';
  const base = {id, service, idempotent};
  if (!answer) {
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
  const {status, head, body} = answer;
  const reason = headerOf(head, 'gentiandoor-reason') ?? '';
  const run = headerOf(head, 'gentiandoor-run') ?? '';
  const own = reason === '' && body.includes(`"/${service}/${id}"`);
  const mixed = reason === '' && !own;
  return {...base, status, reason, run, isComplete: own, mixed};
}

function bytesOf({id, service, method, body = ''}: CallerRequest): string {
  const lines = [`${method} /${service}/${id} HTTP/1.1`, 'host: desk.example'];
  if (method === 'POST') lines.push(`content-length: ${body.length}`);
  return [...lines, '', body].join('\r\n');
}

function closes({head}: RawAnswer): boolean {
  return headerOf(head, 'connection')?.toLowerCase() === 'close';
}

function headerOf(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1];
}
