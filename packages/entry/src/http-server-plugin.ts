import {createServer, type RequestListener, type Server} from 'node:http';
import {splitAddress, type Plugin} from '@gentiandoor/kernel';

/** A request whose headers are not complete within this time is not worth a connection. */
const HEADERS_TIMEOUT_MILLISECONDS = 5_000;
/**
 * Callers keep connections open for minutes; closing them here would race with their next
 * request.
 */
const KEEP_ALIVE_MILLISECONDS = 75_000;

/** Runs an HTTP server as a plugin of the daemon. */
export class HttpServerPlugin implements Plugin {
  private readonly server: Server;

  constructor(
    private readonly address: string,
    listener: RequestListener,
  ) {
    this.server = createServer(
      {
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
      },
      listener,
    );
  }

  get boundAddress(): string {
    return this.address;
  }

  start(): Promise<void> {
    const {host, port} = splitAddress(this.address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Accepts no new connections; resolves when the last one is closed. */
  drain(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    this.server.close();
  }
}
