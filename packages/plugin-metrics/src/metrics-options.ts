import {z} from 'zod';
import {addressSetting} from '@gentiandoor/kernel';

/** Settings section [metrics]. */
export const metricsOptions = z.strictObject({
  statsd_address: addressSetting()
    .optional()
    .describe('Where StatsD datagrams go; nothing is sent when it is missing.'),
});

/** Validated settings of the metrics plug-in. */
export type MetricsOptions = z.output<typeof metricsOptions>;
