import net from 'node:net';
import {splitAddress} from '@gentiandoor/kernel';

/** A response as parsed from the bytes received. */
export interface RawResponse {
  readonly status: number;
  readonly head: string;
  readonly body: string;
}

/** A caller on a plain TCP connection, which can send any bytes. */
export class RawCaller {
  /** All bytes received that `readResponse` has not consumed. */
  received = '';
  closed = false;
  /** True when the daemon reset the connection instead of closing it cleanly. */
  wasReset = false;
  private readonly socket: net.Socket;
  private notifyWaiting: () => void = () => {};

  constructor(address: string) {
    const {host, port} = splitAddress(address);
    this.socket = net.connect({host, port});
    this.socket.on('data', chunk => {
      this.received += chunk.toString('latin1');
      this.notifyWaiting();
    });
    this.socket.on('end', () => this.onClose());
    this.socket.on('close', () => this.onClose());
    this.socket.on('error', (error: NodeJS.ErrnoException) => {
      this.wasReset = error.code === 'ECONNRESET';
    });
  }

  send(...lines: string[]): void {
    this.socket.write(lines.join('\r\n'), 'latin1');
  }

  /** Disconnects at once. */
  destroy(): void {
    this.socket.destroy();
  }

  pause(): void {
    this.socket.pause();
  }

  /** Resolves when the bytes received fulfil `condition`, or when the connection has closed. */
  async until(condition: (received: string) => boolean): Promise<void> {
    while (!condition(this.received) && !this.closed) {
      await new Promise<void>(resolve => {
        this.notifyWaiting = resolve;
      });
    }
  }

  /** Returns the next complete response with a length; throws if the connection closes first. */
  async readResponse(): Promise<RawResponse> {
    await this.until(bytes => parseResponse(bytes) !== undefined);
    const parsed = parseResponse(this.received);
    if (!parsed) throw new Error(`closed after: ${this.received}`);
    this.received = this.received.slice(parsed.length);
    return parsed.answer;
  }

  /** Resolves when the daemon has closed its side. */
  async untilClosed(): Promise<void> {
    await this.until(() => false);
  }

  private onClose(): void {
    this.closed = true;
    this.notifyWaiting();
  }
}

function parseResponse(
  bytes: string,
): {answer: RawResponse; length: number} | undefined {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const head = bytes.slice(0, headEnd);
  const start = headEnd + 4;
  const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
  if (bytes.length < start + length) return undefined;
  const status = Number(head.split(' ', 2)[1]);
  const body = bytes.slice(start, start + length);
  return {answer: {status, head, body}, length: start + length};
}
