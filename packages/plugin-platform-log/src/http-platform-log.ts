import {Packr} from 'msgpackr';
import {Pool, type Dispatcher} from 'undici';
import {z} from 'zod';
import {
  LogFailure,
  PlatformLogError,
  toError,
  type Plugin,
} from '@gentiandoor/kernel';
import {
  LogGapError,
  type AppendPosition,
  type LogBatch,
  type PlatformLog,
  type ReadOptions,
  type StreamName,
} from '@gentiandoor/shared-state';
import type {PlatformLogOptions} from './platform-log-options.js';

const packr = new Packr({useRecords: false});
const CONNECTIONS = 4;
const LARGEST_ANSWER_BYTES = 64_000_000;
const offset = z.number().int().min(0);
const appendBody = z.object({first: offset});
const readBody = z.object({
  from: offset,
  end: offset,
  oldest: offset,
  records: z.array(z.instanceof(Uint8Array)),
});
const gapBody = z.object({oldest: offset});

/** Failures before a byte of the call went out: nothing can have been appended. */
const NOT_SENT: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface Answer {
  readonly status: number;
  readonly body: Buffer;
}

/** The platform's log over HTTP with MessagePack bodies. */
export class HttpPlatformLog implements PlatformLog, Plugin {
  private pool: Pool;

  constructor(private readonly options: PlatformLogOptions) {
    this.pool = this.openPool();
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
    const answer = await this.call(
      {
        path: `/streams/${stream}/records`,
        method: 'POST',
        body: packr.pack(payloads),
      },
      this.options.timeout_milliseconds,
      signal,
    );
    return {firstOffset: read(appendBody, answer).first};
  }

  async read(
    stream: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch> {
    const {limit, waitMilliseconds} = options;
    const query = `from=${from}&limit=${limit}&wait=${waitMilliseconds}`;
    const answer = await this.call(
      {path: `/streams/${stream}/records?${query}`, method: 'GET'},
      this.options.timeout_milliseconds + waitMilliseconds,
      signal,
    );
    const batch = read(readBody, answer);
    if (batch.from !== from)
      throw new PlatformLogError(
        LogFailure.NoAnswer,
        `the log answered from offset ${batch.from}, asked for ${from}`,
      );
    const {end, oldest, records} = batch;
    return {from, end, oldest, payloads: records};
  }

  private async call(
    request: Pick<Dispatcher.RequestOptions, 'path' | 'method' | 'body'>,
    timeoutMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<Answer> {
    const timeout = AbortSignal.timeout(timeoutMilliseconds);
    const either = signal ? AbortSignal.any([signal, timeout]) : timeout;
    try {
      const answer = await this.pool.request({...request, signal: either});
      const body = Buffer.from(await answer.body.arrayBuffer());
      return {status: answer.statusCode, body};
    } catch (thrown) {
      if (timeout.aborted) this.leavePool();
      throw failureOf(toError(thrown));
    }
  }

  /**
   * A call without an answer may mean a connection that something on the way has forgotten:
   * it stays open and brings nothing. Its siblings took the same way, so none is used again;
   * new connections work. Calls still out on the old ones end by their own time.
   */
  private leavePool(): void {
    const old = this.pool;
    this.pool = this.openPool();
    old.close().catch(() => undefined);
  }

  private openPool(): Pool {
    return new Pool(`http://${this.options.address}`, {
      connections: CONNECTIONS,
      pipelining: 1,
      connectTimeout: this.options.timeout_milliseconds,
      maxResponseSize: LARGEST_ANSWER_BYTES,
    });
  }
}

function failureOf(error: Error): PlatformLogError {
  const {code} = error as {code?: unknown};
  const failure =
    typeof code === 'string' && NOT_SENT.has(code)
      ? LogFailure.Refused
      : LogFailure.NoAnswer;
  return new PlatformLogError(failure, error.message, {cause: error});
}

/** The checked body; throws `PlatformLogError` for anything but a whole, well-formed answer. */
function read<Value>(schema: z.ZodType<Value>, answer: Answer): Value {
  const {status, body} = answer;
  if (status === 200) return unpack(schema, body);
  if (status === 410) throw new LogGapError(unpack(gapBody, body).oldest);
  const text = `status ${status}: ${body.toString('utf8').slice(0, 200)}`;
  const isRefusal = status === 429 || status === 503;
  throw new PlatformLogError(
    isRefusal ? LogFailure.Refused : LogFailure.NoAnswer,
    text,
  );
}

function unpack<Value>(schema: z.ZodType<Value>, body: Buffer): Value {
  try {
    return schema.parse(packr.unpack(body));
  } catch (error) {
    throw new PlatformLogError(
      LogFailure.NoAnswer,
      `the log's answer is malformed: ${toError(error).message}`,
      {cause: error},
    );
  }
}
