import net from 'node:net';
import {splitAddress} from '@gentiandoor/kernel';
import {RawTargetBehaviour, respondWith} from './raw-target-behaviour.js';

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '\r\n0\r\n\r\n';

/** A request received by a raw target. */
export interface RawRequest {
  /** The request line and the headers. */
  readonly head: string;
  readonly body: string;
  /** Number of its connection, counted from 1. */
  readonly connection: number;
}

/** A target on plain TCP that records requests and sends responses as raw bytes. */
export class RawTarget {
  /** Completely received requests; under `EarlyAnswer`, those whose head was received. */
  readonly received: RawRequest[] = [];
  /** Number of received bytes, including those of incomplete requests. */
  receivedBytes = 0;
  /** Number of accepted connections. */
  connections = 0;
  behaviour = RawTargetBehaviour.None;
  address = '';
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => this.serve(socket));

  async start(address = '127.0.0.1:0'): Promise<void> {
    const {host, port} = splitAddress(address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    const bound = this.server.address() as net.AddressInfo;
    this.address = `${bound.address}:${bound.port}`;
  }

  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.closeConnections();
    await closed;
  }

  /** Number of open connections. */
  get openConnections(): number {
    return this.sockets.size;
  }

  /** Closes every open connection. */
  closeConnections(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  /** Writes unsolicited bytes to every open connection. */
  writeUnasked(bytes: string): void {
    for (const socket of this.sockets) socket.write(bytes, 'latin1');
  }

  private serve(socket: net.Socket): void {
    const connection = ++this.connections;
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => {});
    let unread = '';
    socket.on('data', chunk => {
      this.receivedBytes += chunk.length;
      unread += chunk.toString('latin1');
      for (;;) {
        const taken = this.parseRequest(unread, connection);
        if (!taken) return;
        unread = unread.slice(taken.length);
        this.received.push(taken.request);
        respondWith(this.behaviour, taken.request, socket);
      }
    });
  }

  private parseRequest(
    bytes: string,
    connection: number,
  ): {request: RawRequest; length: number} | undefined {
    const headEnd = bytes.indexOf(HEAD_END);
    if (headEnd < 0) return undefined;
    const head = bytes.slice(0, headEnd);
    const start = headEnd + HEAD_END.length;
    const end =
      this.behaviour === RawTargetBehaviour.EarlyAnswer
        ? start
        : bodyEnd(head, bytes, start);
    if (end === undefined) return undefined;
    const body = bytes.slice(start, end);
    return {request: {head, body, connection}, length: end};
  }
}

function bodyEnd(
  head: string,
  bytes: string,
  start: number,
): number | undefined {
  if (/^transfer-encoding: chunked$/im.test(head)) {
    const last = bytes.indexOf(LAST_CHUNK, start);
    return last < 0 ? undefined : last + LAST_CHUNK.length;
  }
  const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
  return bytes.length < start + length ? undefined : start + length;
}
