import {createServer, connect, type AddressInfo, type Socket} from 'node:net';

/** What a proxy does to the connections through it. */
export enum ProxyMode {
  Pass = 'pass',
  /** Every byte comes later. */
  Delay = 'delay',
  /** Connections are reset, old ones and new ones. */
  Reset = 'reset',
  /** Open connections and new ones stay open and carry nothing. */
  Silent = 'silent',
  /** Requests come through, answers do not. */
  OneWay = 'one_way',
}

const DELAY_MILLISECONDS = 150;

interface ProxiedConnection {
  readonly near: Socket;
  readonly far: Socket;
  /** Gone silent for good: a later mode does not bring it back. */
  isSilenced: boolean;
}

/** A loopback proxy that misbehaves on demand. */
export class FaultProxy {
  private mode = ProxyMode.Pass;
  private readonly pairs = new Set<ProxiedConnection>();
  private readonly server = createServer(near => this.accept(near));

  constructor(private readonly target: string) {}

  /** Listens on a free port of `host`; returns the address. */
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
    this.carry(pair, near, far, false);
    this.carry(pair, far, near, true);
  }

  private carry(
    pair: ProxiedConnection,
    from: Socket,
    to: Socket,
    isAnswer: boolean,
  ): void {
    from.on('data', bytes => {
      if (pair.isSilenced) return;
      if (isAnswer && this.mode === ProxyMode.OneWay) return;
      if (this.mode === ProxyMode.Delay)
        setTimeout(() => to.write(bytes), DELAY_MILLISECONDS);
      else to.write(bytes);
    });
    // Either end may go at any time; the other is told by its own socket's end.
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.pairs.delete(pair);
      to.destroy();
    });
  }
}
