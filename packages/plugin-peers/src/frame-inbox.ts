import type {RawData, WebSocket} from 'ws';

/** Frames that may wait to be handled before the connection is paused. */
const MAXIMUM_QUEUED_FRAMES = 64;

/** Frames of a connection in order, as something to await; pauses the sender when it falls behind. */
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

  /** The next frame; undefined when the connection has ended. */
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
