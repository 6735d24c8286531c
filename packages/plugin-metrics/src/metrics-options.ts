import {z} from 'zod';
import {addressSetting} from '@gentiandoor/kernel';

/** Settings section [metrics]. */
export const metricsOptions = z.strictObject({
  /** Where StatsD datagrams go; nothing is sent when it is missing. */
  statsd_address: addressSetting().optional(),
});

/** Checked settings of the metrics plug-in. */
export type MetricsOptions = z.output<typeof metricsOptions>;
