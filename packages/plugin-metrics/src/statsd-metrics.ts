import {StatsD} from 'hot-shots';
import {
  MemoryMetrics,
  splitAddress,
  type MetricName,
  type Metrics,
  type MetricTags,
  type Plugin,
} from '@gentiandoor/kernel';
import type {MetricsOptions} from './metrics-options.js';

const PREFIX = 'gentiandoor.';

/** Sends metrics to StatsD and also keeps them in memory for the admin port. */
export class StatsdMetrics implements Metrics, Plugin {
  readonly memory = new MemoryMetrics();
  private client: StatsD | undefined;

  constructor(private readonly options: MetricsOptions) {}

  async start(): Promise<void> {
    if (this.options.statsd_address === undefined) return;
    const {host, port} = splitAddress(this.options.statsd_address);
    this.client = new StatsD({
      host,
      port,
      prefix: PREFIX,
      maxBufferSize: 1400,
      errorHandler: () => undefined,
    });
  }

  async stop(): Promise<void> {
    await new Promise<void>(resolve => {
      if (!this.client) resolve();
      else this.client.close(() => resolve());
    });
  }

  increment(name: MetricName, tags: MetricTags = {}, by = 1): void {
    this.memory.increment(name, tags, by);
    this.client?.increment(name, by, tags);
  }

  gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    this.memory.gauge(name, value, tags);
    this.client?.gauge(name, value, tags);
  }

  timing(name: MetricName, milliseconds: number, tags: MetricTags = {}): void {
    this.memory.timing(name, milliseconds, tags);
    this.client?.timing(name, milliseconds, tags);
  }
}
