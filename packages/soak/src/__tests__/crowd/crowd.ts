import {connect, type Socket} from 'node:net';
import {splitAddress} from '@gentiandoor/kernel';
import {pause} from '../../soak-callers.js';

/** What the connections of a crowd send and how they read. */
export interface CrowdOptions {
  readonly connections: number;
  /** Bytes that each connection sends, piece by piece; it stays open after the last one. */
  readonly pieces: () => Iterable<Buffer>;
  /** Pause before each further piece; none by default. */
  readonly pauseMilliseconds?: number;
  /** Bytes of answers that a connection reads in each pause; it reads nothing by default. */
  readonly bytesReadPerPause?: number;
}

/** Pieces are joined up to this size, so that a crowd of small ones is not slow by itself. */
const WRITE_BYTES = 65_536;
const POLL_MILLISECONDS = 100;
/** A crowd is at rest when none of its connections has moved a byte for this long. */
const REST_MILLISECONDS = 2_000;
const LONGEST_CROWD_MILLISECONDS = 45_000;

/** One connection that sends as fast as it can, or in pauses, whatever it is answered. */
class CrowdConnection {
  private readonly socket: Socket;
  private readonly pieces: Iterator<Buffer>;
  bytesMoved = 0;

  constructor(
    address: string,
    private readonly options: CrowdOptions,
  ) {
    const {host, port} = splitAddress(address);
    this.pieces = options.pieces()[Symbol.iterator]();
    this.socket = connect({host, port});
    this.socket.pause();
    // The daemon may close a connection of a crowd at any moment.
    this.socket.on('error', () => undefined);
    this.socket.once('connect', () => void this.send());
  }

  close(): void {
    this.socket.destroy();
  }

  private async send(): Promise<void> {
    for (;;) {
      const bytes = this.nextWrite();
      if (!bytes || !(await this.write(bytes))) return;
      this.bytesMoved += bytes.length;
      if (this.options.pauseMilliseconds === undefined) continue;
      await pause(this.options.pauseMilliseconds);
      this.readSome();
    }
  }

  private nextWrite(): Buffer | undefined {
    const pieces: Buffer[] = [];
    let bytes = 0;
    do {
      const {value, done} = this.pieces.next() as IteratorResult<Buffer>;
      if (done) break;
      pieces.push(value);
      bytes += value.length;
    } while (
      bytes < WRITE_BYTES &&
      this.options.pauseMilliseconds === undefined
    );
    return bytes > 0 ? Buffer.concat(pieces) : undefined;
  }

  /** Resolves once the kernel has taken the bytes, with false if the connection is closed. */
  private write(bytes: Buffer): Promise<boolean> {
    return new Promise(resolve => {
      if (this.socket.destroyed) return resolve(false);
      const handleClose = () => resolve(false);
      this.socket.once('close', handleClose);
      this.socket.write(bytes, error => {
        this.socket.off('close', handleClose);
        resolve(!error);
      });
    });
  }

  private readSome(): void {
    const {bytesReadPerPause} = this.options;
    if (bytesReadPerPause === undefined) return;
    const bytes = this.socket.read(bytesReadPerPause) as Buffer | null;
    this.bytesMoved += bytes?.length ?? 0;
  }
}

/** Connections of clients that keep to none of the limits of ordinary ones. */
export class Crowd {
  private readonly members: CrowdConnection[] = [];

  constructor(address: string, options: CrowdOptions) {
    for (let index = 0; index < options.connections; index++)
      this.members.push(new CrowdConnection(address, options));
  }

  /** Resolves when the crowd has sent all that is taken from it, or `isOver` returns true. */
  async atRest(isOver: () => boolean): Promise<void> {
    const until = performance.now() + LONGEST_CROWD_MILLISECONDS;
    let moved = -1;
    let movedAt = performance.now();
    while (performance.now() < until && !isOver()) {
      if (performance.now() - movedAt > REST_MILLISECONDS) return;
      await pause(POLL_MILLISECONDS);
      if (this.bytesMoved === moved) continue;
      moved = this.bytesMoved;
      movedAt = performance.now();
    }
  }

  close(): void {
    for (const member of this.members) member.close();
  }

  private get bytesMoved(): number {
    return this.members.reduce((sum, {bytesMoved}) => sum + bytesMoved, 0);
  }
}

/** Returns the same piece a number of times. */
export function* repeated(piece: string, count: number): Iterable<Buffer> {
  const bytes = Buffer.from(piece);
  for (let index = 0; index < count; index++) yield bytes;
}
