import net from 'node:net';
import {splitAddress} from '@gentiandoor/kernel';

/**
 * A TCP path with a delay, that can forget its open connections: from then on nothing passes on those in
 * either direction and neither end is told, while new ones work.
 */
export class SilentDropProxy {
  address = '';
  private generation = 0;
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => this.join(socket));

  /** `delayMilliseconds` is the time one way. */
  constructor(
    private readonly target: string,
    private readonly delayMilliseconds = 0,
  ) {}

  async start(): Promise<void> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const bound = this.server.address() as net.AddressInfo;
    this.address = `${bound.address}:${bound.port}`;
  }

  async stop(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  /** Forgets all connections that are open now. */
  dropOpenConnections(): void {
    this.generation++;
  }

  private join(near: net.Socket): void {
    const {host, port} = splitAddress(this.target);
    const far = net.connect(port, host);
    const generation = this.generation;
    this.pass(near, far, generation);
    this.pass(far, near, generation);
  }

  private pass(from: net.Socket, to: net.Socket, generation: number): void {
    const deliver = (action: () => void) => {
      if (generation === this.generation) this.later(action);
    };
    this.sockets.add(from);
    from.on('data', chunk => deliver(() => to.write(chunk)));
    from.on('end', () => deliver(() => to.end()));
    from.on('error', () => {});
    from.on('close', () => {
      this.sockets.delete(from);
      deliver(() => to.destroy());
    });
  }

  /** Timers of one length run in the order in which they were set: bytes stay in order. */
  private later(action: () => void): void {
    if (this.delayMilliseconds === 0) action();
    else setTimeout(action, this.delayMilliseconds);
  }
}
