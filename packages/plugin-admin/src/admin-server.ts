import {createHash, timingSafeEqual} from 'node:crypto';
import http from 'node:http';
import Koa from 'koa';
import {
  AdminMethod,
  MetricName,
  splitAddress,
  type AdminResponse,
  type AdminHandler,
  type AdminRoutes,
  type DaemonIdentity,
  type DrainState,
  type MemoryMetrics,
  type Metrics,
  type Plugin,
  type Readiness,
} from '@gentiandoor/kernel';
import type {Member, SharedState, VmList} from '@gentiandoor/shared-state';
import type {AdminOptions} from './admin-options.js';
import {BundleRoutes} from './bundle-routes.js';
import {BodyRefusedError, readJsonBody} from './json-body.js';

/** Dependencies of `AdminServer`. */
export interface AdminServerDependencies {
  readonly identity: DaemonIdentity;
  readonly drainState: DrainState;
  readonly readiness: Readiness;
  readonly adminRoutes: AdminRoutes;
  readonly sharedState: SharedState;
  readonly vmList: VmList;
  readonly metrics: Metrics & {readonly memory: MemoryMetrics};
  readonly adminOptions: AdminOptions;
}

/** Response body of GET /status. */
export interface StatusView {
  readonly daemon: DaemonIdentity;
  readonly draining: boolean;
  readonly logReachable: boolean;
  /** Offset of the next record that this daemon will apply. */
  readonly offset: number;
  readonly bundle:
    | {
        readonly version: number;
        readonly digest: string;
        readonly offset: number;
      }
    | undefined;
  readonly members: readonly Member[];
  readonly vmCount: number;
  readonly listedVms: number;
}

/** Serves health checks to the load balancer and the admin routes to operators. */
export class AdminServer implements Plugin {
  private readonly server: http.Server;

  constructor(private readonly dependencies: AdminServerDependencies) {
    const koa = new Koa();
    koa.use(context => this.routeRequest(context));
    const {adminRoutes, adminOptions: options, metrics} = dependencies;
    this.server = http.createServer(
      {requestTimeout: options.request_milliseconds},
      koa.callback(),
    );
    this.server.maxConnections = options.connections;
    this.server.on('drop', () =>
      metrics.increment(MetricName.ConnectionsRefused, {port: 'admin'}),
    );
    adminRoutes.add(AdminMethod.Get, '/status', async () =>
      okResponse(this.status()),
    );
    adminRoutes.add(AdminMethod.Get, '/metrics', async () =>
      okResponse(metrics.memory.snapshot()),
    );
    new BundleRoutes(dependencies.sharedState).register(adminRoutes);
  }

  /** Port in use; 0 while the server is not listening. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  get boundAddress(): string {
    const {host} = splitAddress(this.dependencies.adminOptions.listen);
    return `${host}:${this.port}`;
  }

  async start(): Promise<void> {
    const {host, port} = splitAddress(this.dependencies.adminOptions.listen);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  async stop(): Promise<void> {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async routeRequest(context: Koa.Context): Promise<void> {
    if (context.path === '/health/live') {
      context.body = {live: true};
      return;
    }
    if (context.path === '/health/ready') {
      const waitingFor = this.unreadyParts;
      const ready = waitingFor.length === 0;
      context.status = ready ? 200 : 503;
      context.body = {ready, waitingFor};
      return;
    }
    if (!this.isAuthorized(context.get('authorization'))) {
      context.status = 401;
      context.body = {
        error: 'send the operators\u2019 key: Authorization: Bearer KEY',
      };
      return;
    }
    const handler = this.dependencies.adminRoutes.find(
      context.method,
      context.path,
    );
    if (!handler) {
      context.status = 404;
      context.body = {error: `no admin path ${context.method} ${context.path}`};
      return;
    }
    const {status, body} = await this.callHandler(handler, context);
    context.status = status;
    context.body = body;
  }

  private async callHandler(
    handler: AdminHandler,
    context: Koa.Context,
  ): Promise<AdminResponse> {
    const {path, query, req: request} = context;
    const limit = this.dependencies.adminOptions.body_bytes;
    try {
      const body =
        context.method === AdminMethod.Post
          ? await readJsonBody(request, limit)
          : undefined;
      return await handler({path, query: firstValues(query), body});
    } catch (error) {
      if (!(error instanceof BodyRefusedError)) throw error;
      // The rest of a refused body is not read, so the connection closes after the response.
      context.set('connection', 'close');
      return {status: error.status, body: {error: error.message}};
    }
  }

  /** Components that are not ready, which keep the load balancer from sending requests. */
  get unreadyParts(): string[] {
    const {drainState, readiness, sharedState} = this.dependencies;
    const parts = readiness.unreadyParts();
    if (drainState.isDraining) parts.push('end of the graceful stop');
    if (sharedState.state.inForce === undefined) parts.push('bundle in force');
    return parts;
  }

  private isAuthorized(header: string): boolean {
    const expected = digest(`Bearer ${this.dependencies.adminOptions.key}`);
    return timingSafeEqual(digest(header), expected);
  }

  private status(): StatusView {
    const {identity, drainState, sharedState, vmList} = this.dependencies;
    const {state} = sharedState;
    return {
      daemon: identity,
      draining: drainState.isDraining,
      logReachable: sharedState.isLogReachable,
      offset: state.nextOffset,
      bundle: state.inForce && {
        version: state.inForce.bundle.version,
        digest: state.inForce.digest,
        offset: state.inForce.offset,
      },
      members: [...state.members.values()],
      vmCount: state.vms.size,
      listedVms: vmList.current().size,
    };
  }
}

function okResponse(body: unknown): AdminResponse {
  return {status: 200, body};
}

function firstValues(query: Koa.Context['query']): Record<string, string> {
  return Object.fromEntries(
    Object.entries(query).map(([name, value]) => [
      name,
      [value].flat()[0] ?? '',
    ]),
  );
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
