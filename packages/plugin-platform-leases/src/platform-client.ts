import {Pool} from 'undici';
import type {z} from 'zod';
import type {PlatformLeasesOptions} from './platform-leases-options.js';

const STATUS_OK = 200;

/** A call that the platform refused or that could not be sent; if sent, it may have taken effect. */
export class PlatformRequestError extends Error {}

/** Calls the platform with a timeout and validates the responses; never retries a call. */
export class PlatformClient {
  private readonly pool: Pool | undefined;
  private readonly options: PlatformLeasesOptions;

  constructor(dependencies: {
    readonly platformLeasesOptions: PlatformLeasesOptions;
  }) {
    this.options = dependencies.platformLeasesOptions;
    const {address, connections} = this.options;
    this.pool =
      address === undefined
        ? undefined
        : new Pool(`http://${address}`, {connections, pipelining: 1});
  }

  async get<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
    signal?: AbortSignal,
  ): Promise<z.output<Schema>> {
    return this.request('GET', path, undefined, schema, signal);
  }

  async post<Schema extends z.ZodType>(
    path: string,
    body: unknown,
    schema: Schema,
    signal?: AbortSignal,
  ): Promise<z.output<Schema>> {
    return this.request('POST', path, JSON.stringify(body), schema, signal);
  }

  async stop(): Promise<void> {
    await this.pool?.destroy();
  }

  private async request<Schema extends z.ZodType>(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
    schema: Schema,
    signal: AbortSignal | undefined,
  ): Promise<z.output<Schema>> {
    if (!this.pool)
      throw new PlatformRequestError('[platform-leases] has no address');
    const timeout = AbortSignal.timeout(this.options.timeout_milliseconds);
    const response = await this.pool.request({
      method,
      path,
      body,
      headers: {'content-type': 'application/json'},
      signal: signal ? AbortSignal.any([timeout, signal]) : timeout,
    });
    const value = await response.body.json();
    if (response.statusCode !== STATUS_OK)
      throw new PlatformRequestError(`${path}: status ${response.statusCode}`);
    return schema.parse(value);
  }
}
