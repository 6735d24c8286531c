import {Pool} from 'undici';
import {z} from 'zod';
import {
  LogEvent,
  jitter,
  sleep,
  type Clock,
  type Logger,
  type Plugin,
  type RandomSource,
} from '@gentiandoor/kernel';
import {
  ListedState,
  type ListedVm,
  type VmList,
} from '@gentiandoor/shared-state';
import type {PlatformListOptions} from './platform-list-options.js';

const listBodySchema = z.object({
  version: z.number().int(),
  whole: z.boolean(),
  vms: z.array(
    z.object({
      id: z.string(),
      address: z.string(),
      dataCentre: z.string(),
      rack: z.string(),
      state: z.enum(ListedState),
    }),
  ),
  removed: z.array(z.string()),
});
type ListBody = z.output<typeof listBodySchema>;

/** Dependencies of `HttpVmList`. */
export interface HttpVmListDependencies {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly platformListOptions: PlatformListOptions;
}

/** Polls the platform's list of VMs; keeps the last list while the platform is unreachable. */
export class HttpVmList implements VmList, Plugin {
  private vms: ReadonlyMap<string, ListedVm> = new Map();
  private version: number | undefined;
  private refreshedAt = -Infinity;
  private readonly listeners: Array<() => void> = [];
  private readonly stopController = new AbortController();
  private readonly pool: Pool;
  private loop: Promise<void> = Promise.resolve();
  private isReachable = true;

  constructor(private readonly dependencies: HttpVmListDependencies) {
    const {address} = dependencies.platformListOptions;
    this.pool = new Pool(`http://${address}`, {connections: 1, pipelining: 1});
  }

  current(): ReadonlyMap<string, ListedVm> {
    return this.vms;
  }

  ageMilliseconds(): number {
    return this.dependencies.clock.monotonicMilliseconds() - this.refreshedAt;
  }

  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  async start(): Promise<void> {
    await this.refresh();
    this.loop = this.poll();
  }

  async stop(): Promise<void> {
    this.stopController.abort();
    await this.loop;
    await this.pool.destroy();
  }

  private async poll(): Promise<void> {
    const {clock, random, platformListOptions: options} = this.dependencies;
    while (!this.stopController.signal.aborted) {
      await sleep(
        clock,
        jitter(random, options.poll_milliseconds),
        this.stopController.signal,
      );
      if (!this.stopController.signal.aborted) await this.refresh();
    }
  }

  private async refresh(): Promise<void> {
    const {clock, logger} = this.dependencies;
    try {
      const changed = this.apply(await this.fetchList());
      this.refreshedAt = clock.monotonicMilliseconds();
      if (!this.isReachable) logger.info(LogEvent.ListReturned);
      this.isReachable = true;
      if (changed) for (const listener of this.listeners) listener();
    } catch (error) {
      if (this.stopController.signal.aborted) return;
      if (this.isReachable)
        logger.warn(LogEvent.ListUnavailable, {error: String(error)});
      this.isReachable = false;
    }
  }

  /** Applies a response to the list; returns whether the list changed. */
  private apply(body: ListBody): boolean {
    const vms = new Map(body.whole ? [] : this.vms);
    for (const vm of body.vms) vms.set(vm.id, vm);
    for (const id of body.removed) vms.delete(id);
    const changed =
      body.whole || body.vms.length > 0 || body.removed.length > 0;
    if (changed) this.vms = vms;
    this.version = body.version;
    return changed;
  }

  /**
   * Requests only changes since the current version. The whole list of 31,000 VMs is about 3 MB;
   * if every daemon read it every second, it would saturate the network.
   */
  private async fetchList(): Promise<ListBody> {
    const timeout = AbortSignal.timeout(
      this.dependencies.platformListOptions.timeout_milliseconds,
    );
    const response = await this.pool.request({
      path: this.version === undefined ? '/vms' : `/vms?since=${this.version}`,
      method: 'GET',
      signal: AbortSignal.any([timeout, this.stopController.signal]),
    });
    const body = await response.body.json();
    if (response.statusCode !== 200)
      throw new Error(`status ${response.statusCode}`);
    return listBodySchema.parse(body);
  }
}
