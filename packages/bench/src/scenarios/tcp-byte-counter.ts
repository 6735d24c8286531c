import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

const CLIENT_SOCKETS = 'net.client.socket';

interface SocketMessage {
  readonly socket: Socket;
}

/**
 * Counts the bytes in both directions of all TCP connections that this process opens, without
 * packet headers. A connection within the process is opened by only one end, so each byte counts
 * once.
 */
export class TcpByteCounter {
  private readonly sockets = new Set<Socket>();
  private closedBytes = 0;
  private readonly onSocket = (message: unknown) => {
    const {socket} = message as SocketMessage;
    this.sockets.add(socket);
    socket.once('close', () => {
      this.closedBytes += bytesOf(socket);
      this.sockets.delete(socket);
    });
  };

  start(): void {
    subscribe(CLIENT_SOCKETS, this.onSocket);
  }

  stop(): void {
    unsubscribe(CLIENT_SOCKETS, this.onSocket);
  }

  /** Number of bytes so far. */
  get bytes(): number {
    let sum = this.closedBytes;
    for (const socket of this.sockets) sum += bytesOf(socket);
    return sum;
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
