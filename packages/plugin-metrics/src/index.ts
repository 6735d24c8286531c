import {asValue} from 'awilix';
import type {PluginRegistry} from '@gentiandoor/kernel';
import {metricsOptions, type MetricsOptions} from './metrics-options.js';
import {StatsdMetrics} from './statsd-metrics.js';

export {PrometheusMetrics} from './prometheus-metrics.js';
export {StatsdMetrics} from './statsd-metrics.js';

/** Registers the metrics plug-in. */
export function registerMetrics(registry: PluginRegistry): void {
  registry.add({
    name: 'metrics',
    options: metricsOptions,
    registrationName: 'metrics',
    register(container, options) {
      container.register({
        metrics: asValue(new StatsdMetrics(options as MetricsOptions)),
      });
    },
  });
}
