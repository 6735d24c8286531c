import type {RawData, WebSocket} from 'ws';

/** Maximum queued frames before the connection is paused. */
const MAXIMUM_QUEUED_FRAMES = 64;

/**
 * Queues the frames of a connection for an awaiting reader; applies back-pressure when the
 * reader falls behind.
 */
export class FrameInbox {
  private readonly frames: Uint8Array[] = [];
  private ended = false;
  private notifyReader: () => void = () => undefined;

  constructor(private readonly socket: WebSocket) {
    socket.on('message', (data: RawData) => {
      this.frames.push(asBytes(data));
      if (this.frames.length >= MAXIMUM_QUEUED_FRAMES) socket.pause();
      this.notifyReader();
    });
    socket.once('close', () => this.end());
  }

  /** Returns the next frame; undefined once the connection is closed and the queue is empty. */
  async next(): Promise<Uint8Array | undefined> {
    while (this.frames.length === 0 && !this.ended) {
      await new Promise<void>(resolve => (this.notifyReader = resolve));
    }
    const frame = this.frames.shift();
    if (this.frames.length < MAXIMUM_QUEUED_FRAMES / 2 && this.socket.isPaused)
      this.socket.resume();
    return frame;
  }

  private end(): void {
    this.ended = true;
    this.notifyReader();
  }
}

function asBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}
