import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';

const CLIENT_SOCKETS = 'net.client.socket';

interface SocketMessage {
  readonly socket: Socket;
}

/**
 * Counts the bytes of all TCP connections opened in this process, both ways, without the
 * heads of packets. Each connection inside the process has one opening end, so each byte
 * counts once.
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

  /** Bytes so far. */
  get bytes(): number {
    let sum = this.closedBytes;
    for (const socket of this.sockets) sum += bytesOf(socket);
    return sum;
  }
}

function bytesOf(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
