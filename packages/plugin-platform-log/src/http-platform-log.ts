import {Packr} from 'msgpackr';
import {Pool, type Dispatcher} from 'undici';
import {
  LogFailure,
  PlatformLogError,
  toError,
  type Plugin,
} from '@gentiandoor/kernel';
import type {
  AppendPosition,
  LogBatch,
  PlatformLog,
  ReadOptions,
  StreamName,
} from '@gentiandoor/shared-state';
import type {PlatformLogOptions} from './platform-log-options.js';

const packr = new Packr({useRecords: false});
const CONNECTIONS = 4;

interface ReadBody {
  readonly from: number;
  readonly end: number;
  readonly oldest: number;
  readonly records: Uint8Array[];
}

/** The platform's log over HTTP with MessagePack bodies. */
export class HttpPlatformLog implements PlatformLog, Plugin {
  private readonly pool: Pool;

  constructor(private readonly options: PlatformLogOptions) {
    this.pool = new Pool(`http://${options.address}`, {
      connections: CONNECTIONS,
      pipelining: 1,
    });
  }

  async start(): Promise<void> {}

  async stop(): Promise<void> {
    await this.pool.destroy();
  }

  async append(
    stream: StreamName,
    payloads: readonly Uint8Array[],
    signal?: AbortSignal,
  ): Promise<AppendPosition> {
    const body = await this.call(
      {
        path: `/streams/${stream}/records`,
        method: 'POST',
        body: packr.pack(payloads),
      },
      this.options.timeout_milliseconds,
      signal,
    );
    return {firstOffset: (body as {first: number}).first};
  }

  async read(
    stream: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch> {
    const query = `from=${from}&limit=${options.limit}&wait=${options.waitMilliseconds}`;
    const timeout =
      this.options.timeout_milliseconds + options.waitMilliseconds;
    const body = await this.call(
      {path: `/streams/${stream}/records?${query}`, method: 'GET'},
      timeout,
      signal,
    );
    const batch = body as ReadBody;
    return {
      from: batch.from,
      end: batch.end,
      oldest: batch.oldest,
      payloads: batch.records,
    };
  }

  private async call(
    request: Pick<Dispatcher.RequestOptions, 'path' | 'method' | 'body'>,
    timeoutMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<unknown> {
    const timeout = AbortSignal.timeout(timeoutMilliseconds);
    const either = signal ? AbortSignal.any([signal, timeout]) : timeout;
    try {
      const answer = await this.pool.request({...request, signal: either});
      const bytes = Buffer.from(await answer.body.arrayBuffer());
      if (answer.statusCode === 200) return packr.unpack(bytes);
      throw refusal(answer.statusCode, bytes.toString('utf8'));
    } catch (error) {
      if (error instanceof PlatformLogError) throw error;
      // A lost answer and a refused connection look alike to an appender: both count as unknown.
      throw new PlatformLogError(LogFailure.NoAnswer, toError(error).message, {
        cause: error,
      });
    }
  }
}

function refusal(status: number, text: string): PlatformLogError {
  if (status === 410) return new PlatformLogError(LogFailure.Gap, text);
  if (status === 429 || status === 503)
    return new PlatformLogError(LogFailure.Refused, text);
  return new PlatformLogError(LogFailure.NoAnswer, `status ${status}: ${text}`);
}
