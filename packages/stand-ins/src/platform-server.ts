import http from 'node:http';
import {buffer} from 'node:stream/consumers';
import Koa from 'koa';
import {Packr} from 'msgpackr';
import {PlatformLogFailure, PlatformLogError} from '@gentiandoor/kernel';
import {
  LogGapError,
  StreamName,
  type PlatformLog,
} from '@gentiandoor/shared-state';
import {closeServer, listen} from './http-listener.js';
import type {MemoryVmList} from './memory-vm-list.js';
import type {PlatformLeaseRoutes} from './platform-lease-routes.js';
import {VmListHistory} from './vm-list-history.js';

const packr = new Packr({useRecords: false});
const STREAMS: ReadonlySet<string> = new Set(Object.values(StreamName));

/** HTTP server of the platform: the log, the VM list and optionally the lease routes. */
export class PlatformServer {
  private readonly server: http.Server;
  private readonly history = new VmListHistory();

  constructor(
    readonly log: PlatformLog,
    readonly list: MemoryVmList,
    private readonly leaseRoutes?: PlatformLeaseRoutes,
  ) {
    const koa = new Koa();
    koa.use(context => this.handle(context));
    this.server = http.createServer(koa.callback());
  }

  /** Starts listening and resolves with the bound address. */
  start(address: string): Promise<string> {
    return listen(this.server, address);
  }

  stop(): Promise<void> {
    return closeServer(this.server);
  }

  private async handle(context: Koa.Context): Promise<void> {
    if (await this.leaseRoutes?.handle(context)) return;
    const stream = /^\/streams\/([^/]+)\/records$/.exec(context.path)?.[1];
    if (context.path === '/vms') {
      context.body = this.history.changesSince(
        this.list.visible(),
        context.query.since === undefined
          ? undefined
          : parseNumber(context.query.since),
      );
    } else if (stream !== undefined && STREAMS.has(stream)) {
      await this.handleStream(context, stream as StreamName);
    } else {
      context.status = 404;
    }
  }

  private async handleStream(
    context: Koa.Context,
    stream: StreamName,
  ): Promise<void> {
    try {
      const body =
        context.method === 'POST'
          ? await this.append(context, stream)
          : await this.read(context, stream);
      context.type = 'application/octet-stream';
      context.body = packr.pack(body);
    } catch (error) {
      if (!(error instanceof PlatformLogError)) throw error;
      if (error.failure === PlatformLogFailure.NoResponse) {
        context.req.destroy();
        return;
      }
      if (error instanceof LogGapError) {
        context.status = 410;
        context.body = packr.pack({oldest: error.oldest});
        return;
      }
      context.status = 503;
      context.body = error.message;
    }
  }

  private async append(context: Koa.Context, stream: StreamName) {
    const payloads = packr.unpack(await buffer(context.req)) as Uint8Array[];
    const {firstOffset} = await this.log.append(stream, payloads);
    return {first: firstOffset};
  }

  private async read(context: Koa.Context, stream: StreamName) {
    const gone = new AbortController();
    context.req.on('close', () => gone.abort());
    const batch = await this.log.read(
      stream,
      parseNumber(context.query.from),
      {
        limit: parseNumber(context.query.limit),
        waitMilliseconds: parseNumber(context.query.wait),
      },
      gone.signal,
    );
    return {
      from: batch.from,
      end: batch.end,
      oldest: batch.oldest,
      records: batch.payloads,
    };
  }
}

function parseNumber(value: unknown): number {
  return Number(value ?? 0) || 0;
}
