import {Packr} from 'msgpackr';
import {Pool, type Dispatcher} from 'undici';
import {z} from 'zod';
import {
  PlatformLogFailure,
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
const MAXIMUM_RESPONSE_BYTES = 64_000_000;
const offsetSchema = z.number().int().min(0);
const appendBodySchema = z.object({first: offsetSchema});
const readBodySchema = z.object({
  from: offsetSchema,
  end: offsetSchema,
  oldest: offsetSchema,
  records: z.array(z.instanceof(Uint8Array)),
});
const gapBodySchema = z.object({oldest: offsetSchema});

/** Errors that occur before any byte of a call is sent, so nothing can have been appended. */
const NOT_SENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface HttpResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Client of the platform's log over HTTP with MessagePack bodies. */
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
    const response = await this.request(
      {
        path: `/streams/${stream}/records`,
        method: 'POST',
        body: packr.pack(payloads),
      },
      this.options.timeout_milliseconds,
      signal,
    );
    return {firstOffset: parseResponse(appendBodySchema, response).first};
  }

  async read(
    stream: StreamName,
    from: number,
    options: ReadOptions,
    signal?: AbortSignal,
  ): Promise<LogBatch> {
    const {limit, waitMilliseconds} = options;
    const query = `from=${from}&limit=${limit}&wait=${waitMilliseconds}`;
    const response = await this.request(
      {path: `/streams/${stream}/records?${query}`, method: 'GET'},
      this.options.timeout_milliseconds + waitMilliseconds,
      signal,
    );
    const batch = parseResponse(readBodySchema, response);
    if (batch.from !== from)
      throw new PlatformLogError(
        PlatformLogFailure.NoResponse,
        `the log returned records from offset ${batch.from}, expected ${from}`,
      );
    const {end, oldest, records} = batch;
    return {from, end, oldest, payloads: records};
  }

  private async request(
    request: Pick<Dispatcher.RequestOptions, 'path' | 'method' | 'body'>,
    timeoutMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<HttpResponse> {
    const timeout = AbortSignal.timeout(timeoutMilliseconds);
    const combinedSignal = signal
      ? AbortSignal.any([signal, timeout])
      : timeout;
    try {
      const response = await this.pool.request({
        ...request,
        signal: combinedSignal,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      return {status: response.statusCode, body};
    } catch (thrown) {
      if (timeout.aborted) this.replacePool();
      throw toPlatformLogError(toError(thrown));
    }
  }

  /**
   * Replaces all connections after a timeout. A missing response may mean that a network device
   * on the path has dropped the connection's state: the connection stays open and carries nothing.
   * The other connections use the same path, so none of them is reused; new connections work.
   * Calls still in flight on the old connections end with their own timeouts.
   */
  private replacePool(): void {
    const previousPool = this.pool;
    this.pool = this.openPool();
    previousPool.close().catch(() => undefined);
  }

  private openPool(): Pool {
    return new Pool(`http://${this.options.address}`, {
      connections: CONNECTIONS,
      pipelining: 1,
      connectTimeout: this.options.timeout_milliseconds,
      maxResponseSize: MAXIMUM_RESPONSE_BYTES,
    });
  }
}

function toPlatformLogError(error: Error): PlatformLogError {
  const {code} = error as {code?: unknown};
  const failure =
    typeof code === 'string' && NOT_SENT_ERROR_CODES.has(code)
      ? PlatformLogFailure.Refused
      : PlatformLogFailure.NoResponse;
  return new PlatformLogError(failure, error.message, {cause: error});
}

/** Returns the validated body; throws `PlatformLogError` unless the response is well-formed. */
function parseResponse<Value>(
  schema: z.ZodType<Value>,
  response: HttpResponse,
): Value {
  const {status, body} = response;
  if (status === 200) return unpackBody(schema, body);
  if (status === 410)
    throw new LogGapError(unpackBody(gapBodySchema, body).oldest);
  const text = `status ${status}: ${body.toString('utf8').slice(0, 200)}`;
  const isRefusal = status === 429 || status === 503;
  throw new PlatformLogError(
    isRefusal ? PlatformLogFailure.Refused : PlatformLogFailure.NoResponse,
    text,
  );
}

function unpackBody<Value>(schema: z.ZodType<Value>, body: Buffer): Value {
  try {
    return schema.parse(packr.unpack(body));
  } catch (error) {
    throw new PlatformLogError(
      PlatformLogFailure.NoResponse,
      `the log's response is malformed: ${toError(error).message}`,
      {cause: error},
    );
  }
}
