import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {
  METRIC_CATALOGUE,
  MetricName,
  MetricType,
  type Metrics,
  type MetricTags,
} from '@gentiandoor/kernel';

const PREFIX = 'gentiandoor_';
/** Bucket bounds, from a store's response time to a caller's longest wait, in milliseconds. */
const TIMING_BUCKETS_MILLISECONDS = [
  2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000,
];

/** Keeps metrics in memory and renders them in the Prometheus text format. */
export class PrometheusMetrics implements Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<MetricName, Counter>();
  private readonly gauges = new Map<MetricName, Gauge>();
  private readonly timings = new Map<MetricName, Histogram>();

  constructor() {
    for (const name of Object.values(MetricName)) this.registerMetric(name);
  }

  increment(name: MetricName, tags: MetricTags = {}, by = 1): void {
    this.counters.get(name)?.inc({...tags}, by);
  }

  gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    this.gauges.get(name)?.set({...tags}, value);
  }

  timing(name: MetricName, milliseconds: number, tags: MetricTags = {}): void {
    this.timings.get(name)?.observe({...tags}, milliseconds);
  }

  /** Returns all metrics in the text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  /** Media type of the text format. */
  get contentType(): string {
    return this.registry.contentType;
  }

  private registerMetric(name: MetricName): void {
    const entry = METRIC_CATALOGUE[name];
    const options = {
      name: PREFIX + name,
      help: entry.meaning,
      labelNames: [...entry.tags],
      registers: [this.registry],
    };
    switch (entry.type) {
      case MetricType.Counter:
        this.counters.set(name, new Counter(options));
        break;
      case MetricType.Gauge:
        this.gauges.set(name, new Gauge(options));
        break;
      case MetricType.Timing:
        this.timings.set(
          name,
          new Histogram({...options, buckets: TIMING_BUCKETS_MILLISECONDS}),
        );
    }
  }
}
