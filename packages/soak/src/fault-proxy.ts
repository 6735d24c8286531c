import {createServer, connect, type AddressInfo, type Socket} from 'node:net';

/** How a proxy treats its connections. */
export enum ProxyMode {
  Pass = 'pass',
  /** Bytes are forwarded after a delay. */
  Delay = 'delay',
  /** Open and new connections are reset. */
  Reset = 'reset',
  /** Open and new connections stay open, but forward nothing. */
  Silent = 'silent',
  /** Requests are forwarded, responses are dropped. */
  OneWay = 'one_way',
}

const DELAY_MILLISECONDS = 150;

interface ProxiedConnection {
  readonly near: Socket;
  readonly far: Socket;
  /** Whether the connection forwards nothing; it stays so in later modes. */
  isSilenced: boolean;
}

/** A TCP proxy that injects connection faults. */
export class FaultProxy {
  private mode = ProxyMode.Pass;
  private readonly pairs = new Set<ProxiedConnection>();
  private readonly server = createServer(near => this.accept(near));

  constructor(private readonly target: string) {}

  /** Listens on a free port of `host` and resolves with the address. */
  async start(host: string): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, host, resolve);
    });
    return `${host}:${(this.server.address() as AddressInfo).port}`;
  }

  setMode(mode: ProxyMode): void {
    this.mode = mode;
    if (mode === ProxyMode.Reset)
      for (const {near} of this.pairs) near.resetAndDestroy();
    if (mode === ProxyMode.Silent)
      for (const pair of this.pairs) pair.isSilenced = true;
  }

  stop(): void {
    this.server.close();
    for (const {near, far} of this.pairs) {
      near.destroy();
      far.destroy();
    }
  }

  private accept(near: Socket): void {
    if (this.mode === ProxyMode.Reset) {
      near.resetAndDestroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const far = connect(Number(port), host);
    const pair: ProxiedConnection = {
      near,
      far,
      isSilenced: this.mode === ProxyMode.Silent,
    };
    this.pairs.add(pair);
    this.forward(pair, near, far, false);
    this.forward(pair, far, near, true);
  }

  private forward(
    pair: ProxiedConnection,
    from: Socket,
    to: Socket,
    isResponse: boolean,
  ): void {
    from.on('data', bytes => {
      if (pair.isSilenced) return;
      if (isResponse && this.mode === ProxyMode.OneWay) return;
      if (this.mode === ProxyMode.Delay)
        setTimeout(() => to.write(bytes), DELAY_MILLISECONDS);
      else to.write(bytes);
    });
    // Either end may fail at any time; closing the other socket notifies its peer.
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.pairs.delete(pair);
      to.destroy();
    });
  }
}
