import {createServer, type Server} from 'node:http';
import {splitAddress, type Plugin} from '@gentiandoor/kernel';
import type {
  RequestHandler,
  ServerGuard,
} from './caller-limits/server-guard.js';

/** A request whose headers are not complete within this time is not worth a connection. */
const HEADERS_TIMEOUT_MILLISECONDS = 5_000;
/** Time for a whole request with its body; the largest body takes a second on a slow link. */
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const CHECK_INTERVAL_MILLISECONDS = 1_000;
/**
 * Callers keep connections open for minutes; closing them here would race with their next
 * request.
 */
const KEEP_ALIVE_MILLISECONDS = 75_000;

/** Runs an HTTP server as a plugin of the daemon. */
export class HttpServerPlugin implements Plugin {
  private readonly server: Server;
  private checkTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly address: string,
    handle: RequestHandler,
    private readonly guard: ServerGuard,
  ) {
    this.server = createServer(
      {
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
        requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
        connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
      },
      guard.guard(handle),
    );
    guard.attach(this.server);
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
        this.checkTimer = setInterval(
          () => this.guard.closeUnread(),
          CHECK_INTERVAL_MILLISECONDS,
        );
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
    clearInterval(this.checkTimer);
    this.server.closeAllConnections();
    this.server.close();
  }
}
