import {json} from 'node:stream/consumers';
import type Koa from 'koa';
import {toError} from '@gentiandoor/kernel';
import type {
  LeaseClient,
  TaskRequest,
  VmActionRequest,
  VmActions,
} from '@gentiandoor/shared-state';

interface TaskCall {
  readonly id: string;
  readonly leaseMilliseconds: number;
  readonly share: number;
}

/** HTTP routes of the platform server for task leases and VM actions. */
export class PlatformLeaseRoutes {
  constructor(
    private readonly leases: LeaseClient,
    private readonly actions: VmActions,
  ) {}

  /** Handles a request to one of these routes; resolves with false for any other path. */
  async handle(context: Koa.Context): Promise<boolean> {
    const {path, method} = context;
    if (!path.startsWith('/tasks') && path !== '/vm-actions') return false;
    try {
      context.body =
        method === 'GET'
          ? {tasks: await this.leases.report()}
          : await this.dispatch(path, await json(context.req));
      if (context.body === undefined) context.status = 404;
    } catch (error) {
      context.status = 503;
      context.body = {error: toError(error).message};
    }
    return true;
  }

  private async dispatch(path: string, body: unknown): Promise<unknown> {
    const call = body as TaskCall;
    switch (path) {
      case '/vm-actions':
        return {
          state: await this.actions.requestAction(body as VmActionRequest),
        };
      case '/tasks/start':
        return this.leases.start(body as TaskRequest);
      case '/tasks/renew':
        return this.leases.renew(call.id, call.leaseMilliseconds);
      case '/tasks/stop':
        return this.leases.stop(call.id);
      case '/tasks/checkpoint':
        return this.leases.checkpoint(call.id);
      case '/tasks/throttle':
        return this.leases.throttle(call.id, call.share);
      default:
        return undefined;
    }
  }
}
