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

/** The platform over HTTP: the log and the list of VMs. */
export class PlatformServer {
  private readonly server: http.Server;
  private readonly history = new VmListHistory();

  constructor(
    readonly log: PlatformLog,
    readonly list: MemoryVmList,
    private readonly leaseRoutes?: PlatformLeaseRoutes,
  ) {
    const koa = new Koa();
    koa.use(context => this.answer(context));
    this.server = http.createServer(koa.callback());
  }

  /** Resolves with the address in use. */
  start(address: string): Promise<string> {
    return listen(this.server, address);
  }

  stop(): Promise<void> {
    return closeServer(this.server);
  }

  private async answer(context: Koa.Context): Promise<void> {
    if (await this.leaseRoutes?.answer(context)) return;
    const stream = /^\/streams\/([^/]+)\/records$/.exec(context.path)?.[1];
    if (context.path === '/vms') {
      context.body = this.history.answer(
        this.list.visible(),
        context.query.since === undefined
          ? undefined
          : numberOf(context.query.since),
      );
    } else if (stream !== undefined && STREAMS.has(stream)) {
      await this.answerStream(context, stream as StreamName);
    } else {
      context.status = 404;
    }
  }

  private async answerStream(
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
      numberOf(context.query.from),
      {
        limit: numberOf(context.query.limit),
        waitMilliseconds: numberOf(context.query.wait),
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

function numberOf(value: unknown): number {
  return Number(value ?? 0) || 0;
}
