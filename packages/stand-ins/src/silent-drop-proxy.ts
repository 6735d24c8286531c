import net from 'node:net';
import {splitAddress} from '@gentiandoor/kernel';

/**
 * A TCP proxy with a delay that can silently drop its open connections: it discards their traffic
 * in both directions without notifying either end, while new connections work.
 */
export class SilentDropProxy {
  address = '';
  private generation = 0;
  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => this.accept(socket));

  /** `delayMilliseconds` is the one-way delay. */
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

  /** Stops forwarding on all open connections. */
  dropOpenConnections(): void {
    this.generation++;
  }

  private accept(near: net.Socket): void {
    const {host, port} = splitAddress(this.target);
    const far = net.connect(port, host);
    const generation = this.generation;
    this.forward(near, far, generation);
    this.forward(far, near, generation);
  }

  private forward(from: net.Socket, to: net.Socket, generation: number): void {
    const deliver = (action: () => void) => {
      if (generation === this.generation) this.afterDelay(action);
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

  /**
   * Delays an action. Timers of equal length fire in the order they were set, so bytes stay in
   * order.
   */
  private afterDelay(action: () => void): void {
    if (this.delayMilliseconds === 0) action();
    else setTimeout(action, this.delayMilliseconds);
  }
}
